package beamspread.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;

/** Plays the variants of an experiment over the same seeds, on several cores. */
public final class Lab {
  private final Experiment experiment;
  private final int seeds;
  private final long firstSeed;
  private final double warmSeconds;
  private final double seconds;
  private final Runs runs;

  /**
   * @param seeds runs of each variant
   * @param firstSeed the runs have this seed and those that follow
   * @param warmSeconds of each run that count for nothing
   * @param seconds of each run that count, on virtual time
   * @param runs where finished runs are kept, and known ones found
   */
  public Lab(
      Experiment experiment,
      int seeds,
      long firstSeed,
      double warmSeconds,
      double seconds,
      Runs runs) {
    this.experiment = experiment;
    this.seeds = seeds;
    this.firstSeed = firstSeed;
    this.warmSeconds = warmSeconds;
    this.seconds = seconds;
    this.runs = runs;
  }

  private Result play(Fleet fleet, long seed) {
    Runs.Key key = Runs.Key.of(fleet, seed, warmSeconds, seconds);
    Result result = runs.find(key);
    if (result == null) {
      result = Emulator.run(fleet, seed, warmSeconds, seconds);
      runs.keep(key, result);
    }
    return result;
  }

  /**
   * Plays all of it.
   *
   * @param cores how many runs are played at a time
   * @param progress told how many of how many runs are done, from the calling thread
   */
  public Findings run(int cores, BiConsumer<Integer, Integer> progress)
      throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(cores);
    try {
      Map<String, List<Future<Result>>> pending = new LinkedHashMap<>();
      for (String name : experiment.variants().keySet()) {
        List<Future<Result>> played = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
          long seed = firstSeed + i;
          Fleet fleet = experiment.fleet(name);
          played.add(threads.submit(() -> play(fleet, seed)));
        }
        pending.put(name, played);
      }
      int done = 0;
      Map<String, List<Result>> results = new LinkedHashMap<>();
      for (Map.Entry<String, List<Future<Result>>> variant : pending.entrySet()) {
        List<Result> all = new ArrayList<>();
        for (Future<Result> run : variant.getValue()) {
          all.add(run.get());
          progress.accept(++done, seeds * pending.size());
        }
        results.put(variant.getKey(), all);
      }
      return new Findings(firstSeed, results);
    } catch (ExecutionException e) {
      throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
    } finally {
      threads.shutdownNow();
    }
  }
}
