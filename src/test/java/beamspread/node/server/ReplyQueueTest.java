package beamspread.node.server;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.Outcome;
import beamspread.node.server.ReplyQueue.LineUse;
import beamspread.node.wire.MetaReply;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks which command a reply is taken to answer, with lines among them that answer nothing. */
class ReplyQueueTest {
  private static final MetaReply BUSY = line(Outcome.Result.FULL);
  private static final MetaReply ERROR = line(Outcome.Result.ERROR);

  private final ReplyQueue<String> replies = new ReplyQueue<>();

  private static MetaReply line(Outcome.Result result) {
    return new MetaReply(result, null, null, null, 0, Outcome.Note.NONE, null);
  }

  private void write(String attempt) {
    replies.addAttempt(attempt, attempt, true);
  }

  @Test
  void identifiedReplyOutweighsLineBeforeIt() {
    write("a");
    assertThat(replies.lineReceived(BUSY).use()).isEqualTo(LineUse.UNPROVEN);
    ReplyQueue.Match<String> match = replies.identifiedReceived("a");
    assertThat(match.attempt()).isEqualTo("a");
    assertThat(match.unsolicited()).isTrue();
    assertThat(replies.isAligned()).isTrue();
  }

  @Test
  void noOpReplyProvesRefusalBeforeIt() {
    write("a");
    replies.lineReceived(BUSY);
    assertThat(replies.addProvingNoOps()).isEqualTo(1);
    ReplyQueue.Match<String> match = replies.noOpReceived();
    assertThat(match.earlier()).containsExactly(new ReplyQueue.Answer<>("a", BUSY));
    assertThat(match.unsolicited()).isFalse();
  }

  @Test
  void lineBeforeLeadingNoOpIsNotTheAnswer() {
    replies.addNoOp();
    write("a");
    assertThat(replies.lineReceived(BUSY).use()).isEqualTo(LineUse.NO_OP);
    assertThat(replies.noOpReceived().unsolicited()).isTrue();
    assertThat(replies.isUnanswered("a")).isTrue();
    assertThat(replies.lineReceived(ERROR)).isEqualTo(new ReplyQueue.Line<>(LineUse.UNPROVEN, "a"));
  }

  @Test
  void repeatedReplyToLeadingNoOpProvesNothing() {
    replies.addNoOp();
    write("a");
    replies.noOpReceived();
    replies.lineReceived(BUSY);
    assertThat(replies.addProvingNoOps()).isEqualTo(2);
    assertThat(replies.noOpReceived().earlier()).isEmpty();
    assertThat(replies.isUnanswered("a")).isTrue();
    assertThat(replies.identifiedReceived("a").attempt()).isEqualTo("a");
  }

  @Test
  void linesThatCanNotBeToldApartProveNothing() {
    write("a");
    replies.lineReceived(BUSY);
    replies.lineReceived(ERROR);
    replies.addProvingNoOps();
    assertThat(replies.noOpReceived().earlier())
        .containsExactly(new ReplyQueue.Answer<>("a", null));
  }

  @Test
  void missingAnswerIsFound() {
    write("a");
    write("b");
    assertThat(replies.identifiedReceived("b").answerMissing()).isTrue();
  }

  @Test
  void serverWithoutNoOpsIsStillMatchedByIds() {
    replies.addNoOp();
    write("a");
    assertThat(replies.identifiedReceived("a").attempt()).isEqualTo("a");
    assertThat(replies.noOpReceived()).isNull();
  }

  @Test
  void lateAnswerToRepeatableAttemptIsNotTheNextOnes() {
    replies.addAttempt("safe", "safe", false);
    assertThat(replies.lineReceived(BUSY).use()).isEqualTo(LineUse.ANSWERED);
    write("a");
    ReplyQueue.Match<String> late = replies.identifiedReceived("safe");
    assertThat(late.attempt()).isNull();
    assertThat(late.unsolicited()).isTrue();
    assertThat(replies.isUnanswered("a")).isTrue();
  }

  @Test
  void secondCopyOfRequestOnSameConnectionIsAnsweredAfterRefusalOfFirst() {
    replies.addAttempt("first", "id", false);
    replies.lineReceived(BUSY);
    replies.addAttempt("second", "id", false);
    assertThat(replies.identifiedReceived("id").attempt()).isEqualTo("second");
  }

  @Test
  void lineWithoutCommandIsUnsolicited() {
    assertThat(replies.lineReceived(BUSY).use()).isEqualTo(LineUse.UNSOLICITED);
    write("a");
    replies.identifiedReceived("a");
    assertThat(replies.lineReceived(BUSY).use()).isEqualTo(LineUse.UNSOLICITED);
  }

  /** Any number of lines that answer nothing, anywhere: no attempt that runs is proven refused. */
  @Test
  void noAttemptThatRunsIsProvenRefused() {
    long first = Long.getLong("seed", 1);
    for (long seed = first; seed < first + 20_000; seed++) {
      playConnection(new Random(seed), seed);
    }
  }

  private static void playConnection(Random random, long seed) {
    ReplyQueue<String> queue = new ReplyQueue<>();
    Queue<String> sentByServer = new ArrayDeque<>();
    Set<String> running = new HashSet<>();
    boolean retired = false;
    double strayRate = random.nextDouble() * 0.5;
    for (int step = 0; step < 30 || !sentByServer.isEmpty(); step++) {
      List<ReplyQueue.Answer<String>> proven = new ArrayList<>();
      if (step < 30 && !retired && random.nextInt(3) == 0) {
        sendAttempt(random, queue, "a" + step, sentByServer, running);
      } else if (random.nextDouble() < strayRate) {
        queue.lineReceived(random.nextInt(4) > 0 ? BUSY : ERROR);
      } else if (!sentByServer.isEmpty()) {
        ReplyQueue.Match<String> match = receive(queue, sentByServer.poll());
        proven.addAll(match == null ? List.of() : match.earlier());
      }
      if (queue.hasUnprovenLine() && !retired && random.nextBoolean()) {
        retired = true;
        for (int i = queue.addProvingNoOps(); i > 0; i--) {
          sentByServer.add("MN");
        }
      }
      for (ReplyQueue.Answer<String> answer : proven) {
        boolean provenNotRun =
            answer.line() != null && answer.line().result() == Outcome.Result.FULL;
        assertThat(provenNotRun && running.contains(answer.attempt()))
            .as("seed %d: %s", seed, answer.attempt())
            .isFalse();
      }
    }
  }

  private static void sendAttempt(
      Random random,
      ReplyQueue<String> queue,
      String attempt,
      Queue<String> sentByServer,
      Set<String> running) {
    if (!queue.isAligned() && !queue.hasUnanswered()) {
      queue.addNoOp();
      sentByServer.add("MN");
    }
    queue.addAttempt(attempt, attempt, true);
    if (random.nextInt(3) == 0) {
      sentByServer.add("busy");
    } else {
      running.add(attempt);
      sentByServer.add(random.nextInt(5) == 0 ? "error" : attempt);
    }
  }

  private static ReplyQueue.Match<String> receive(ReplyQueue<String> queue, String reply) {
    return switch (reply) {
      case "MN" -> queue.noOpReceived();
      case "busy", "error" -> {
        queue.lineReceived(reply.equals("busy") ? BUSY : ERROR);
        yield null;
      }
      default -> queue.identifiedReceived(reply);
    };
  }
}
