package beamspread.policy;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.Learnt;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Rushes: what is turned away at once, what cold servers earn, what a successor knows. */
class JamTest {
  private final Rig.Recorder actions = new Rig.Recorder();

  private Balancer balancer(int maxOpen) {
    return new Balancer(
        Rig.settings(
            false,
            new Settings.Limits(4, true, true, false, false, false, 1, 0.1, 60, 32, maxOpen)),
        1,
        actions);
  }

  private void ask(Balancer balancer, double now, String id) {
    balancer.request(now, Rig.request(id, "k" + id, "safe", 1));
  }

  private void answer(Balancer balancer, double now, String id) {
    Rig.Act sent =
        actions.of("send").stream().filter(act -> act.id().equals(id)).findFirst().orElseThrow();
    balancer.outcome(now, Rig.outcome(id, 0, sent.number(), Outcome.Result.OK));
  }

  @Test
  void whatClientsConnectionsCannotBearIsRefusedAtOnce() {
    Balancer balancer = balancer(6); // Reads get five of six places.
    balancer.membership(100, Rig.fleet(8));
    for (int i = 0; i < 5; i++) {
      ask(balancer, 100, "r" + i);
    }
    assertThat(actions.of("refuse")).isEmpty();
    ask(balancer, 100, "one more");
    assertThat(actions.of("refuse")).extracting(Rig.Act::id).containsExactly("one more");
    answer(balancer, 100.1, "r0");
    ask(balancer, 100.1, "next");
    assertThat(actions.of("refuse")).hasSize(1);
    answer(balancer, 100.2, "r1");
    answer(balancer, 100.2, "r2");
    // Another process of this instance holds two: with the three here there is no room.
    balancer.share(2);
    ask(balancer, 100.2, "shared");
    assertThat(actions.of("refuse")).extracting(Rig.Act::id).contains("shared");
    balancer.share(0);
    ask(balancer, 100.2, "alone");
    assertThat(actions.of("refuse")).hasSize(2);
  }

  private static List<ServerEntry> twoOneCold(double startedAt) {
    return List.of(Rig.server(1), Rig.server(2, ServerEntry.State.READY, startedAt));
  }

  /** Attempts at the cold server in two seconds, in which its answers take so long. */
  private int coldSends(double seconds) {
    Balancer balancer = balancer(20000);
    balancer.membership(100, Rig.list(MembershipUpdate.Kind.REMEMBERED, twoOneCold(100)));
    balancer.inherit(new Learnt(100, 200, 200, Map.of()));
    int cold = 0;
    for (int i = 0; i < 1000; i++) {
      double now = 100 + i * 0.002;
      String id = "r" + i;
      ask(balancer, now, id);
      for (Rig.Act act : actions.of("send")) {
        cold += act.number() == 2 ? 1 : 0;
        balancer.outcome(
            now,
            new Outcome(
                act.id(),
                0,
                act.number(),
                Outcome.Result.OK,
                seconds,
                true,
                Outcome.Note.HIT,
                null));
      }
      actions.acts.clear();
    }
    return cold;
  }

  @Test
  void aColdServerEarnsMoreByAnswersWithEaseAndNothingByLateOnes() {
    int strained = coldSends(0.45);
    int eased = coldSends(0.02);
    // By contract: a tenth of 100 a second, a little more with each, less where it is strained.
    assertThat(strained).isBetween(1, 60);
    // And twice that at the most, which is what the contract leaves where all others do the same.
    assertThat(eased).isBetween((int) (1.9 * strained), 2 * strained);
  }

  @Test
  void aSuccessorKnowsFromTheStartWhatColdServersBear() {
    for (boolean inherits : new boolean[] {true, false}) {
      actions.acts.clear();
      Balancer balancer = balancer(20000);
      balancer.membership(110, Rig.list(MembershipUpdate.Kind.REMEMBERED, twoOneCold(100)));
      if (inherits) {
        balancer.inherit(new Learnt(50, 100, 100, Map.of(1L, 0.5)));
      }
      for (int i = 0; i < 90; i++) {
        ask(balancer, 110 + i * 0.01, "r" + i);
      }
      long cold = actions.of("send").stream().filter(act -> act.number() == 2).count();
      assertThat(cold > 0).as("inherits " + inherits).isEqualTo(inherits);
      assertThat(balancer.learnt(111).shares().get(1L) < 1).isEqualTo(inherits);
    }
  }

  @Test
  void whatOperatorsSayIsNoAnswerOfTheListsService() {
    Rig.Recorder acts = new Rig.Recorder();
    Balancer asking = new Balancer(Rig.settings(true, 4, true), 1, acts);
    asking.membership(100, Rig.fleet(2));
    asking.membership(101, Rig.list(MembershipUpdate.Kind.FAILED, List.of()));
    double due = 101 + acts.of("wake").get(acts.of("wake").size() - 1).value();
    asking.membership(
        101.01,
        Rig.list(
            MembershipUpdate.Kind.BY_HAND, List.of(Rig.server(1, ServerEntry.State.DRAINING, 0))));
    acts.acts.clear();
    asking.timer(due, Balancer.FEED_TOKEN);
    assertThat(acts.of("subscribe")).as("the list is still asked for").hasSize(1);
    ask(asking, due, "r");
    assertThat(acts.of("send")).extracting(Rig.Act::number).containsExactly(2L);
  }
}
