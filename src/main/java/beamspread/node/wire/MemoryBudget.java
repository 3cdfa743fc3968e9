package beamspread.node.wire;

/** Limits the bytes of values that the node holds at once, over all connections together. */
public final class MemoryBudget {
  private long free;

  public MemoryBudget(long bytes) {
    this.free = bytes;
  }

  public boolean reserve(int bytes) {
    if (bytes > free) {
      return false;
    }
    free -= bytes;
    return true;
  }

  public void release(int bytes) {
    free += bytes;
  }
}
