package beamspread.chaos.members;

import beamspread.tier.MemberInfo;
import beamspread.tier.MemberRecord;
import beamspread.tier.Tier;
import beamspread.tier.TierActions;
import beamspread.tier.TierSettings;

/** The real state machine. */
public final class TierMember implements Member {
  private final Tier tier;

  private TierMember(Tier tier) {
    this.tier = tier;
  }

  /**
   * Makes members of a tier of so many.
   *
   * @param clockSteps seconds by which the wall clock differs at each start of each number
   */
  public static Maker maker(
      TierSettings settings,
      int members,
      long seed,
      java.util.function.IntToLongFunction clockSteps) {
    return (number, start, now, surroundings) ->
        new TierMember(
            new Tier(
                settings,
                number,
                members,
                new MemberInfo("n" + number, "z" + number % 3, "1.0"),
                1_000_000 + now / 1_000_000_000 + clockSteps.applyAsLong(start),
                seed * 1_000_003 + number * 101L + start,
                now,
                new TierActions() {
                  @Override
                  public void send(int to, byte[] datagram) {
                    surroundings.send(to, datagram);
                  }

                  @Override
                  public void memberChanged(MemberRecord before, MemberRecord after, String why) {
                    boolean was = before != null && before.state().isActive();
                    if (was != after.state().isActive() && after.number() != number) {
                      surroundings.judged(after.number(), after.state().isActive());
                    }
                  }
                }));
  }

  /** Members of a tier on the usual settings and a clock that goes right. */
  public static Maker maker(int members, long seed) {
    return maker(TierSettings.defaults("trial"), members, seed, start -> 0);
  }

  /** The state machine. */
  public Tier tier() {
    return tier;
  }

  @Override
  public long due() {
    return tier.nextRunAt();
  }

  @Override
  public void run(long now) {
    tier.run(now);
  }

  @Override
  public void received(long now, int from, byte[] datagram) {
    tier.receive(now, from, datagram);
  }

  @Override
  public void leave(long now) {
    tier.leave(now);
  }

  @Override
  public boolean here(int number) {
    MemberRecord of = tier.member(number);
    return of != null && of.state().isActive();
  }

  @Override
  public int digest() {
    return tier.digest();
  }
}
