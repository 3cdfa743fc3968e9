package beamspread.lab;

import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.Settings;
import beamspread.policy.Actions;
import beamspread.policy.Balancer;

/**
 * What decides for a node of the model: the real decision module, or one of the plain ways that it
 * is compared with. This is the seam for other versions of the module.
 */
interface Decider {
  void membership(double now, MembershipUpdate update);

  void request(double now, Request request);

  void outcome(double now, Outcome outcome);

  void timer(double now, long token);

  /** The decider of this policy. */
  static Decider of(Fleet.Policy policy, Settings settings, long seed, Actions actions) {
    return policy == Fleet.Policy.OWN
        ? real(new Balancer(settings, seed, actions))
        : new PlainDecider(policy, settings, seed, actions);
  }

  private static Decider real(Balancer balancer) {
    return new Decider() {
      @Override
      public void membership(double now, MembershipUpdate update) {
        balancer.onMembershipUpdate(now, update);
      }

      @Override
      public void request(double now, Request request) {
        balancer.onRequest(now, request);
      }

      @Override
      public void outcome(double now, Outcome outcome) {
        balancer.onOutcome(now, outcome);
      }

      @Override
      public void timer(double now, long token) {
        balancer.onTimer(now, token);
      }
    };
  }
}
