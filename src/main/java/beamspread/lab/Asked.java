package beamspread.lab;

import beamspread.model.Settings;
import java.util.Locale;

/** What a client wants, over all its tries. */
final class Asked {
  final int key;
  final boolean write;
  final Settings.ServiceClass service;
  final long work;
  final long since;
  int tries;

  /** How often a box has carried it out. */
  int executed;

  /** Where and when, told where that matters. */
  private String story = "";

  /** A box has carried it out. */
  void executed(long at, String where) {
    executed++;
    if (service.effect() == Settings.Effect.UNSAFE && executed <= 4) {
      story += String.format(Locale.ROOT, "; %.3f s at %s", at / 1e9, where);
    }
  }

  /** What it is and where it was carried out. */
  String story() {
    return String.format(
        Locale.ROOT,
        "%s of k%d asked at %.3f s, %d tries%s",
        service.name(),
        key,
        since / 1e9,
        tries,
        story);
  }

  Asked(int key, boolean write, Settings.ServiceClass service, long work, long since) {
    this.key = key;
    this.write = write;
    this.service = service;
    this.work = work;
    this.since = since;
  }
}
