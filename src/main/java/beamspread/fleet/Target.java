package beamspread.fleet;

/** An instance that something is to be done to. */
public record Target(String instance, String agent, String zone) {

  /** As operators write it where the name alone is not enough. */
  public String path() {
    return agent + "/" + instance;
  }
}
