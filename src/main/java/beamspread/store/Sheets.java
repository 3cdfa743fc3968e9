package beamspread.store;

import java.util.List;
import java.util.Optional;

/** Where sheets are kept, whatever the database. */
public interface Sheets extends AutoCloseable {
  /**
   * A sheet as it is stored.
   *
   * @param value its bytes; not to be changed
   * @param version how many writes it has had
   */
  record Sheet(byte[] value, long version) {}

  /**
   * Carries out all of a batch in one transaction, each at most once by its id.
   *
   * @return the answer to each, in their order; durable where it says so
   * @throws SheetsException if none has an answer
   */
  List<Write.Answer> commit(List<Write> batch) throws SheetsException;

  /** The sheet of this key, as of the last transaction that was confirmed or a later one. */
  Optional<Sheet> read(String key) throws SheetsException;

  @Override
  void close();
}
