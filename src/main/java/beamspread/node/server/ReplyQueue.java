package beamspread.node.server;

import beamspread.model.Outcome;
import beamspread.node.wire.MetaReply;
import java.util.ArrayList;
import java.util.List;

/**
 * Matches the replies on one connection with its commands. A server answers each command once and
 * in order, but a reply without an id may also answer nothing, or repeat an earlier one. So such a
 * line is only assigned to a command for the time being; a reply with an id, or to a no-op, shows
 * which lines came before it and thereby what they answer.
 *
 * @param <A> the type of an attempt
 */
final class ReplyQueue<A> {
  /** A command on the connection that no identified reply has passed yet. */
  private static final class Command<A> {
    final A attempt;
    final String id;
    final boolean needsProof;

    /** Replies that a no-op command and its repetitions still get; 0 for an attempt. */
    int missingNoOps;

    /** Whether a line without an id was taken as the answer at once. */
    boolean answered;

    Command(A attempt, String id, boolean needsProof, int missingNoOps) {
      this.attempt = attempt;
      this.id = id;
      this.needsProof = needsProof;
      this.missingNoOps = missingNoOps;
    }

    boolean isUnanswered() {
      return attempt != null && !answered;
    }
  }

  /** What a line without an id may answer. */
  enum LineUse {
    /** Taken as the answer to an attempt that may be repeated anyway. */
    ANSWERED,
    /** Possibly the answer to an attempt, which has to be proven. */
    UNPROVEN,
    /** Possibly the answer to a no-op. */
    NO_OP,
    /** There is no command that it could answer. */
    UNSOLICITED
  }

  /** A line without an id, and the attempt that it may answer; null where there is none. */
  record Line<A>(LineUse use, A attempt) {}

  /** An attempt with the line that answers it; null if it can't be told which one does. */
  record Answer<A>(A attempt, MetaReply line) {}

  /**
   * What an identified reply shows.
   *
   * @param earlier the answers to the attempts before it
   * @param attempt the attempt that it answers; null for a no-op or an attempt answered before
   * @param unsolicited whether a line before it answered nothing
   * @param answerMissing whether an attempt before it got no reply
   */
  record Match<A>(List<Answer<A>> earlier, A attempt, boolean unsolicited, boolean answerMissing) {}

  private final List<Command<A>> commands = new ArrayList<>();

  /** The lines without an id since the last identified reply. */
  private final List<MetaReply> lines = new ArrayList<>();

  private boolean identifiedBefore;
  private int noOps;

  /**
   * @param needsProof whether the attempt must not be repeated on the word of an unproven line
   */
  void addAttempt(A attempt, String id, boolean needsProof) {
    commands.add(new Command<>(attempt, id, needsProof, 0));
  }

  /** Adds a no-op command before an attempt. */
  void addNoOp() {
    addNoOps(1);
  }

  /**
   * Adds the no-ops that prove all replies before them, and returns how many have to be sent: one
   * more than before on this connection, in case a reply to one of those comes twice.
   */
  int addProvingNoOps() {
    int count = noOps + 1;
    addNoOps(count);
    return count;
  }

  private void addNoOps(int count) {
    noOps += count;
    commands.add(new Command<>(null, null, false, count));
  }

  /**
   * Returns whether the last reply was identified, so that the next one answers the next command.
   */
  boolean isAligned() {
    return identifiedBefore && lines.isEmpty();
  }

  /** Returns whether an attempt awaits its answer. */
  boolean hasUnanswered() {
    for (Command<A> command : commands) {
      if (command.isUnanswered()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the attempts that await their answer, oldest first. */
  List<A> unanswered() {
    return commands.stream().filter(Command::isUnanswered).map(command -> command.attempt).toList();
  }

  /** Returns whether this attempt awaits its answer. */
  boolean isUnanswered(A attempt) {
    return commands.stream().anyMatch(c -> c.attempt == attempt && c.isUnanswered());
  }

  /** Returns how many lines without an id were received since the last identified reply. */
  int unidentifiedCount() {
    return lines.size();
  }

  /** Returns whether there is a line that may answer an attempt, but is not proven. */
  boolean hasUnprovenLine() {
    for (int i = 0; i < Math.min(lines.size(), commands.size()); i++) {
      if (commands.get(i).isUnanswered()) {
        return true;
      }
    }
    return false;
  }

  /** Handles a line without an id. */
  Line<A> lineReceived(MetaReply line) {
    int position = lines.size();
    if (position >= commands.size()) {
      if (hasUnanswered()) {
        lines.add(line);
      }
      return new Line<>(LineUse.UNSOLICITED, null);
    }
    lines.add(line);
    Command<A> command = commands.get(position);
    if (command.attempt == null) {
      return new Line<>(LineUse.NO_OP, null);
    }
    command.answered = !command.needsProof;
    return new Line<>(command.answered ? LineUse.ANSWERED : LineUse.UNPROVEN, command.attempt);
  }

  /** Handles a reply with this id; returns null if no command on the connection has it. */
  Match<A> identifiedReceived(String id) {
    int found = -1;
    for (int i = 0; i < commands.size(); i++) {
      // A request may have been sent here twice; the lines before tell which one is answered.
      if (id.equals(commands.get(i).id) && (found < 0 || i == lines.size())) {
        found = i;
      }
    }
    return found < 0 ? null : resolve(found);
  }

  /** Handles the reply to a no-op; returns null if none is expected. */
  Match<A> noOpReceived() {
    for (int i = 0; i < commands.size(); i++) {
      Command<A> command = commands.get(i);
      if (command.missingNoOps > 0) {
        command.missingNoOps--;
        return command.missingNoOps == 0 ? resolve(i) : new Match<>(List.of(), null, false, false);
      }
    }
    return null;
  }

  /** Resolves all commands up to the one at this position, which has an identified reply. */
  private Match<A> resolve(int position) {
    List<Answer<A>> earlier = position == 0 ? List.of() : new ArrayList<>(position);
    int attemptsBefore = 0;
    for (int i = 0; i < position; i++) {
      Command<A> command = commands.get(i);
      attemptsBefore += command.attempt != null ? 1 : 0;
      if (command.isUnanswered()) {
        earlier.add(new Answer<>(command.attempt, lineFor(i, position)));
      }
    }
    Command<A> identified = commands.get(position);
    boolean unsolicited = lines.size() > position || identified.answered;
    boolean answerMissing = lines.size() < attemptsBefore;
    A attempt = identified.answered ? null : identified.attempt;
    commands.subList(0, position + 1).clear();
    lines.clear();
    identifiedBefore = true;
    return new Match<>(earlier, attempt, unsolicited, answerMissing);
  }

  /** Returns the line that answers a command before the given end; null if that can't be told. */
  private MetaReply lineFor(int position, int end) {
    if (lines.size() == end) {
      return lines.get(position);
    }
    boolean allRefuse = lines.stream().allMatch(line -> line.result() == Outcome.Result.FULL);
    return lines.size() > end && allRefuse ? lines.get(position) : null;
  }

  /** Removes all commands and returns the unanswered attempts, oldest first. */
  List<A> removeUnanswered() {
    List<A> unanswered = unanswered();
    commands.clear();
    lines.clear();
    return unanswered;
  }

  /** Removes the oldest command, an attempt that its pending line answers. */
  void removeOldest() {
    commands.remove(0);
    lines.remove(0);
  }
}
