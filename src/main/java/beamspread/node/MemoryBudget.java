package beamspread.node;

/** Bytes of values that the node may hold at once, over all connections together. */
final class MemoryBudget {
  private long free;

  MemoryBudget(long bytes) {
    this.free = bytes;
  }

  boolean reserve(int bytes) {
    if (bytes > free) {
      return false;
    }
    free -= bytes;
    return true;
  }

  void release(int bytes) {
    free += bytes;
  }
}
