package beamspread.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RelaysTest {
  private static final long MS = 1_000_000L;
  private static final int READ_BYTES = 1000;

  /** How long each client waits in any case. */
  private static final long DEADLINE = 50 * MS;

  private static final RelaySettings SETTINGS =
      new RelaySettings(
          4 * READ_BYTES, 10 * READ_BYTES, 2 * READ_BYTES, 100 * MS, 80 * MS, 3 * READ_BYTES);

  /** The server and the client of one value; checks each action. */
  private static final class Endpoints implements RelayActions {
    Relay relay;
    int bytesToSend;
    int undelivered;
    boolean reading = true;
    boolean shared;
    boolean serverClosed;
    boolean clientCut;
    Boolean endedComplete;

    Endpoints(Relays relays, long now, int length) {
      this(relays, now, length, DEADLINE);
    }

    Endpoints(Relays relays, long now, int length, long timeToDeadline) {
      bytesToSend = length;
      relay = relays.begin(now, length, now + timeToDeadline, this);
    }

    void sendFromServer(long now, int bytes) {
      bytesToSend -= bytes;
      if (relay.received(now, bytes)) {
        undelivered += bytes;
      }
      if (bytesToSend == 0) {
        reading = true;
        relay.completed(now);
      }
    }

    void deliverToClient(long now, int bytes) {
      undelivered -= bytes;
      relay.delivered(now, bytes);
    }

    @Override
    public void setReading(boolean enabled) {
      assertThat(enabled).as("reading state changes").isNotEqualTo(reading);
      assertThat(serverClosed).isFalse();
      reading = enabled;
    }

    @Override
    public void closeServerConnection() {
      assertThat(serverClosed).as("closed once").isFalse();
      assertThat(bytesToSend).as("bytes missing when the server is closed").isPositive();
      serverClosed = true;
    }

    @Override
    public void cutClient() {
      assertThat(clientCut).as("cut once").isFalse();
      assertThat(endedComplete).isNull();
      clientCut = true;
    }

    @Override
    public boolean isShared() {
      return shared;
    }

    @Override
    public void ended(boolean complete) {
      assertThat(endedComplete).as("over once").isNull();
      assertThat(clientCut && complete).isFalse();
      endedComplete = complete;
    }
  }

  @Test
  void relaysAValueAndPausesReadingWhileTheClientIsBehind() {
    Relays relays = new Relays(SETTINGS);
    Endpoints endpoints = new Endpoints(relays, 0, 8 * READ_BYTES);
    endpoints.relay.clientReady(0);
    for (int i = 0; i < 4; i++) {
      assertThat(endpoints.reading).isTrue();
      endpoints.sendFromServer(i, READ_BYTES);
    }
    assertThat(endpoints.reading).as("four reads are held").isFalse();
    endpoints.deliverToClient(5, READ_BYTES);
    assertThat(endpoints.reading).as("more than half is still held").isFalse();
    endpoints.deliverToClient(6, READ_BYTES);
    assertThat(endpoints.reading).isTrue();
    endpoints.sendFromServer(7, READ_BYTES);
    endpoints.deliverToClient(8, 3 * READ_BYTES);
    endpoints.sendFromServer(9, 3 * READ_BYTES);
    assertThat(endpoints.endedComplete).as("not yet read by the client").isNull();
    endpoints.deliverToClient(10, 3 * READ_BYTES);
    assertThat(endpoints.endedComplete).isTrue();
    assertThat(relays.heldBytes()).isZero();
    assertThat(relays.openCount()).isZero();
    assertThat(relays.completedCount()).isEqualTo(1);
  }

  @Test
  void readsOnlyEmptyRelaysWhenTheSharedMemoryIsFull() {
    Relays relays = new Relays(SETTINGS);
    List<Endpoints> all = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Endpoints endpoints = new Endpoints(relays, 0, 20 * READ_BYTES);
      endpoints.relay.clientReady(0);
      endpoints.sendFromServer(0, READ_BYTES);
      all.add(endpoints);
    }
    assertThat(relays.heldBytes()).isEqualTo(12 * READ_BYTES);
    assertThat(all.get(8).reading).isTrue();
    assertThat(all.get(9).reading).as("the tenth fills the memory").isFalse();
    Endpoints last = all.get(11);
    last.deliverToClient(1, READ_BYTES);
    assertThat(last.reading).as("resumes with nothing held").isTrue();
    last.sendFromServer(2, READ_BYTES);
    assertThat(last.reading).isFalse();
    all.get(0).deliverToClient(3, READ_BYTES);
    all.get(1).deliverToClient(4, READ_BYTES);
    all.get(2).deliverToClient(5, READ_BYTES);
    assertThat(all.get(9).reading).as("paused longest, and memory is free again").isTrue();
  }

  @Test
  void deliversReceivedBytesBeforeCuttingTheClientWhenTheServerAborts() {
    Relays relays = new Relays(SETTINGS);
    Endpoints endpoints = new Endpoints(relays, 0, 8 * READ_BYTES);
    endpoints.relay.clientReady(0);
    endpoints.sendFromServer(0, READ_BYTES);
    endpoints.relay.aborted();
    assertThat(endpoints.clientCut).as("the client first reads what is held").isFalse();
    endpoints.deliverToClient(1, READ_BYTES);
    assertThat(endpoints.clientCut).isTrue();
    assertThat(endpoints.endedComplete).isFalse();
    assertThat(relays.abortedByServers()).isEqualTo(1);
  }

  @Test
  void cutsAtOnceWhenTheServerAbortsBeforeTheClientIsReady() {
    Relays relays = new Relays(SETTINGS);
    Endpoints endpoints = new Endpoints(relays, 0, 8 * READ_BYTES);
    endpoints.sendFromServer(0, READ_BYTES);
    endpoints.relay.aborted();
    assertThat(endpoints.clientCut).isTrue();
    assertThat(relays.heldBytes()).isZero();
  }

  @Test
  void readsAValueThatIsHeldUntilItIsWholeBeyondItsUsualPart() {
    Relays relays = new Relays(SETTINGS);
    Endpoints endpoints = new Endpoints(relays, 0, 8 * READ_BYTES);
    endpoints.sendFromServer(0, 4 * READ_BYTES);
    assertThat(endpoints.reading).isFalse();
    endpoints.relay.holdUntilWhole(1, 20 * MS);
    assertThat(endpoints.reading).as("room for all of it is reserved").isTrue();
    endpoints.sendFromServer(2, 4 * READ_BYTES);
    relays.tick(30 * MS);
    assertThat(endpoints.clientCut).as("it is whole").isFalse();
    endpoints.relay.clientReady(30 * MS);
    endpoints.deliverToClient(31 * MS, 8 * READ_BYTES);
    assertThat(endpoints.endedComplete).isTrue();
    assertThat(relays.refusedUnfinished()).isZero();
  }

  @Test
  void refusesAHeldValueThatIsNotWholeWhenTheAnswersBehindItAreDue() {
    Relays relays = new Relays(SETTINGS);
    Endpoints endpoints = new Endpoints(relays, 0, 8 * READ_BYTES);
    endpoints.sendFromServer(0, READ_BYTES);
    endpoints.relay.holdUntilWhole(0, 20 * MS);
    endpoints.relay.holdUntilWhole(MS, 5 * MS);
    endpoints.relay.holdUntilWhole(2 * MS, 30 * MS);
    relays.tick(6 * MS - 1);
    assertThat(endpoints.clientCut).isFalse();
    relays.tick(6 * MS);
    assertThat(endpoints.clientCut).isTrue();
    assertThat(endpoints.endedComplete).isFalse();
    assertThat(relays.refusedUnfinished()).isEqualTo(1);
    assertThat(relays.heldBytes()).isZero();
  }

  @Test
  void refusesAValueAtOnceThatCanNeverBeHeldWhole() {
    Relays relays = new Relays(SETTINGS);
    Endpoints endpoints = new Endpoints(relays, 0, 11 * READ_BYTES);
    endpoints.relay.holdUntilWhole(0, 20 * MS);
    assertThat(endpoints.clientCut).isTrue();
    assertThat(relays.refusedUnfinished()).isEqualTo(1);
  }

  @Test
  void aHeldValueWaitsForRoomBesideOtherHeldOnes() {
    Relays relays = new Relays(SETTINGS);
    Endpoints first = new Endpoints(relays, 0, 6 * READ_BYTES);
    Endpoints second = new Endpoints(relays, 0, 6 * READ_BYTES);
    first.relay.holdUntilWhole(0, 20 * MS);
    second.relay.holdUntilWhole(0, 20 * MS);
    first.sendFromServer(1, READ_BYTES);
    second.sendFromServer(1, READ_BYTES);
    assertThat(first.reading).isTrue();
    assertThat(second.reading).as("a first part only").isFalse();
    first.relay.aborted();
    relays.tick(10 * MS);
    assertThat(second.reading).as("the first has given its room back").isTrue();
    second.sendFromServer(11 * MS, 5 * READ_BYTES);
    relays.tick(20 * MS);
    assertThat(second.clientCut).as("it is whole").isFalse();
  }

  @Test
  void readsLessOfAValueBeforeItsTurn() {
    Relays relays = new Relays(SETTINGS);
    Endpoints endpoints = new Endpoints(relays, 0, 8 * READ_BYTES);
    endpoints.sendFromServer(0, READ_BYTES);
    assertThat(endpoints.reading).isFalse();
    endpoints.relay.clientReady(1);
    endpoints.deliverToClient(2, READ_BYTES);
    assertThat(endpoints.reading).isTrue();
  }

  @Test
  void closesASilentServerUnlessItsReadingIsPaused() {
    Relays relays = new Relays(SETTINGS);
    Endpoints silent = new Endpoints(relays, 0, 8 * READ_BYTES);
    Endpoints held = new Endpoints(relays, 0, 8 * READ_BYTES);
    silent.relay.clientReady(0);
    silent.sendFromServer(0, READ_BYTES);
    silent.deliverToClient(0, READ_BYTES);
    held.sendFromServer(0, 4 * READ_BYTES);
    relays.tick(80 * MS);
    assertThat(silent.serverClosed).isFalse();
    relays.tick(81 * MS);
    assertThat(silent.serverClosed).isTrue();
    assertThat(silent.clientCut).isTrue();
    // The client is not ready for it yet: neither its server nor its client is at fault.
    relays.tick(1000 * MS);
    assertThat(held.serverClosed).isFalse();
    assertThat(held.endedComplete).isNull();
    held.relay.clientReady(1000 * MS);
    held.deliverToClient(1000 * MS, 4 * READ_BYTES);
    relays.tick(1080 * MS);
    assertThat(held.serverClosed).as("silence is measured from the resumed reading").isFalse();
    relays.tick(1081 * MS);
    assertThat(held.serverClosed).isTrue();
  }

  @Test
  void waitsForASilentServerUntilTheDeadlineOfTheRequest() {
    Relays relays = new Relays(SETTINGS);
    Endpoints endpoints = new Endpoints(relays, 0, 8 * READ_BYTES, 500 * MS);
    endpoints.relay.clientReady(0);
    endpoints.sendFromServer(0, READ_BYTES);
    endpoints.deliverToClient(0, READ_BYTES);
    relays.tick(500 * MS);
    assertThat(endpoints.serverClosed).isFalse();
    endpoints.sendFromServer(500 * MS, READ_BYTES);
    endpoints.deliverToClient(500 * MS, READ_BYTES);
    relays.tick(580 * MS);
    assertThat(endpoints.serverClosed).isFalse();
    relays.tick(581 * MS);
    assertThat(endpoints.serverClosed).isTrue();
  }

  @Test
  void keepsASlowClientWhileMemoryIsLeftAndCutsOneThatReadsNothing() {
    Relays relays = new Relays(SETTINGS);
    Endpoints slow = new Endpoints(relays, 0, 50 * READ_BYTES);
    slow.relay.clientReady(0);
    slow.sendFromServer(0, 4 * READ_BYTES);
    for (int ms = 70; ms <= 700; ms += 70) {
      slow.deliverToClient(ms * MS, 1);
      relays.tick((ms + 60) * MS);
    }
    assertThat(slow.clientCut).isFalse();
    relays.tick(780 * MS);
    assertThat(slow.clientCut).isFalse();
    relays.tick(781 * MS);
    assertThat(slow.clientCut).isTrue();
    assertThat(relays.slowClients()).isEqualTo(1);
  }

  @Test
  void cutsAClientThatStaysBelowTheMinimumPace() {
    Relays relays = new Relays(SETTINGS);
    Endpoints fair = new Endpoints(relays, 0, 50 * READ_BYTES);
    Endpoints slow = new Endpoints(relays, 0, 50 * READ_BYTES);
    for (Endpoints endpoints : List.of(fair, slow)) {
      endpoints.relay.clientReady(0);
      endpoints.sendFromServer(0, 4 * READ_BYTES);
    }
    for (int ms = 10; ms <= 200; ms += 10) {
      if (!slow.clientCut) {
        slow.deliverToClient(ms * MS, 1);
      }
      fair.deliverToClient(ms * MS, READ_BYTES / 4);
      if (fair.reading) {
        fair.sendFromServer(ms * MS, READ_BYTES);
      }
      relays.tick(ms * MS);
    }
    assertThat(slow.clientCut).isTrue();
    assertThat(slow.serverClosed).as("too many bytes remain to be discarded").isTrue();
    assertThat(fair.endedComplete).isNull();
    assertThat(relays.slowClients()).isEqualTo(1);
  }

  @Test
  void discardsTheRestOfAnUnwantedValueIfItIsSmallOrTheConnectionIsShared() {
    Relays relays = new Relays(SETTINGS);
    Endpoints large = new Endpoints(relays, 0, 8 * READ_BYTES);
    Endpoints small = new Endpoints(relays, 0, 4 * READ_BYTES);
    Endpoints shared = new Endpoints(relays, 0, 40 * READ_BYTES);
    shared.shared = true;
    for (Endpoints endpoints : List.of(large, small, shared)) {
      endpoints.relay.clientReady(0);
      endpoints.sendFromServer(0, READ_BYTES);
      endpoints.relay.clientDisconnected(1);
      assertThat(endpoints.endedComplete).isFalse();
    }
    assertThat(relays.heldBytes()).isZero();
    assertThat(large.serverClosed).isTrue();
    assertThat(small.serverClosed).isFalse();
    assertThat(shared.serverClosed).isFalse();
    int undeliveredBefore = shared.undelivered;
    shared.sendFromServer(2, 20 * READ_BYTES);
    assertThat(shared.undelivered).as("dropped, not passed on").isEqualTo(undeliveredBefore);
    assertThat(shared.reading).isTrue();
    small.sendFromServer(3, 3 * READ_BYTES);
    shared.sendFromServer(3, 19 * READ_BYTES);
    assertThat(relays.openCount()).isZero();
  }

  @Test
  void reportsEachInvalidSetting() {
    assertThatThrownBy(() -> new Relays(new RelaySettings(0, -1, 0, 1, 0, -1)))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("maxHeldPerValue must")
        .hasMessageContaining("maxHeldTotal")
        .hasMessageContaining("minPaceBytes")
        .hasMessageContaining("maxSilenceNanos")
        .hasMessageContaining("maxDiscardBytes");
  }

  /**
   * Runs random sequences of all events: memory is bounded, each relay ends once, and none stays
   * paused with nothing held.
   */
  @Property(tries = 300, seed = "20261201")
  void invariantsHoldForRandomEventOrders(@ForAll long seed) {
    Random random = new Random(seed);
    Relays relays = new Relays(SETTINGS);
    List<Endpoints> all = new ArrayList<>();
    long now = 0;
    for (int step = 0; step < 500; step++) {
      now += random.nextInt(4) * MS;
      if (random.nextInt(8) == 0) {
        all.add(new Endpoints(relays, now, (1 + random.nextInt(30)) * READ_BYTES));
        all.get(all.size() - 1).shared = random.nextBoolean();
      }
      if (all.isEmpty()) {
        continue;
      }
      Endpoints endpoints = all.get(random.nextInt(all.size()));
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3, 4 -> {
          if (endpoints.bytesToSend > 0 && endpoints.reading && !endpoints.serverClosed) {
            endpoints.sendFromServer(
                now, Math.min(endpoints.bytesToSend, 1 + random.nextInt(READ_BYTES)));
          }
        }
        case 5, 6, 7 -> {
          if (endpoints.endedComplete == null && endpoints.undelivered > 0) {
            endpoints.deliverToClient(now, 1 + random.nextInt(endpoints.undelivered));
          }
        }
        case 8, 9 -> {
          if (endpoints.endedComplete == null && !endpoints.clientCut) {
            endpoints.relay.clientReady(now);
          }
        }
        case 10 -> {
          if (random.nextInt(4) == 0 && endpoints.endedComplete == null) {
            endpoints.relay.clientDisconnected(now);
          } else if (random.nextInt(4) == 0
              && endpoints.bytesToSend > 0
              && !endpoints.serverClosed) {
            endpoints.serverClosed = true;
            endpoints.relay.aborted();
          }
        }
        default -> relays.tick(now);
      }
      long openCount = all.stream().filter(other -> other.endedComplete == null).count();
      assertThat(relays.heldBytes())
          .isEqualTo(
              all.stream()
                  .filter(other -> other.endedComplete == null)
                  .mapToLong(s -> s.undelivered)
                  .sum())
          .isLessThanOrEqualTo(SETTINGS.maxHeldTotal() + openCount * READ_BYTES);
      for (Endpoints other : all) {
        assertThat(other.endedComplete == null ? other.undelivered : 0)
            .isLessThan(SETTINGS.maxHeldPerValue() + READ_BYTES);
        boolean stopped = other.endedComplete == null && !other.reading;
        assertThat(stopped && other.undelivered == 0).as("paused with nothing held").isFalse();
      }
    }
    // After long enough without events, every relay whose client is ready has ended.
    for (Endpoints other : all) {
      if (other.endedComplete == null) {
        other.relay.clientReady(now);
      }
    }
    for (int i = 0; i < 4; i++) {
      now += 200 * MS;
      relays.tick(now);
    }
    assertThat(all).allMatch(other -> other.endedComplete != null);
    assertThat(relays.heldBytes()).isZero();
    assertThat(relays.openCount()).isZero();
  }
}
