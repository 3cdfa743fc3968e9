package beamspread.scale;

import beamspread.chaos.members.MembershipTrial;
import beamspread.chaos.members.TierMember;
import java.lang.management.ManagementFactory;

/** Membership on virtual time at a tenth of loss and pauses of up to a second. */
final class MemberTrial {
  private static final MembershipTrial.Conditions AIM = new MembershipTrial.Conditions(0.1, 1, 0);

  private MemberTrial() {}

  static void play(ScaleFile plan, int size, long seed, Figures figures) {
    var threads = ManagementFactory.getThreadMXBean();
    long began = threads.getCurrentThreadCpuTime();
    MembershipTrial.Outcome outcome =
        MembershipTrial.play(size, seed, plan.deaths(), AIM, TierMember.maker(size, seed));
    double cpuSeconds = (threads.getCurrentThreadCpuTime() - began) / 1e9;
    figures.put("member.bytes_per_s", outcome.bytesPerSecond());
    // The tier settles for as long again before it is watched: an upper bound.
    figures.put("member.core_percent", cpuSeconds / (outcome.nodeHours() * 3600) * 100);
    figures.put("member.deaths_missed", outcome.missed());
    if (!outcome.detected().isEmpty()) {
      figures.put("member.death_median_s", outcome.percentile(0.5));
      figures.put("member.death_last_s", outcome.percentile(1));
    }
  }
}
