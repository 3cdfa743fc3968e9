package beamspread.tier;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Gossip queue: sends each item to the neighbours a fixed number of times, the least sent items
 * first. A newer item replaces the older one on the same topic. Items that are dropped because the
 * queue is full reach the other members by anti-entropy.
 */
final class GossipQueue {
  /** Maximum queue length; beyond it the items sent most often are dropped. */
  private static final int MAX_ITEMS = 512;

  /** How often each item is sent, per neighbour. */
  private static final int SENDS_PER_NEIGHBOUR = 2;

  private record Topic(int kind, int subject, int reporter) {}

  private static final class QueuedItem {
    private final Datagram.Item item;
    private int remainingSends;

    QueuedItem(Datagram.Item item, int remainingSends) {
      this.item = item;
      this.remainingSends = remainingSends;
    }
  }

  private final Map<Topic, QueuedItem> itemsByTopic = new LinkedHashMap<>();

  /** Enqueues a member's changed record. */
  void enqueue(MemberRecord record, int neighbours) {
    put(new Topic(1, record.number(), 0), new Datagram.RecordItem(record), neighbours);
    if (!record.state().isActive()) {
      // Reports about a member that is no longer active are obsolete.
      itemsByTopic
          .keySet()
          .removeIf(topic -> topic.kind() == 2 && topic.subject() == record.number());
    }
  }

  /** Enqueues a suspicion report or its withdrawal. */
  void enqueue(SuspicionReport report, int neighbours) {
    put(
        new Topic(2, report.subject(), report.reporter()),
        new Datagram.SuspicionItem(report),
        neighbours);
  }

  private void put(Topic topic, Datagram.Item item, int neighbours) {
    itemsByTopic.remove(topic);
    if (itemsByTopic.size() >= MAX_ITEMS) {
      Iterator<Topic> oldest = itemsByTopic.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    itemsByTopic.put(topic, new QueuedItem(item, SENDS_PER_NEIGHBOUR * Math.max(1, neighbours)));
  }

  /** Returns whether the queue is empty. */
  boolean isEmpty() {
    return itemsByTopic.isEmpty();
  }

  /** Returns the next items that fit into this many bytes and counts them as sent. */
  List<Datagram.Item> nextItems(int maxBytes) {
    List<Datagram.Item> selected = new ArrayList<>();
    List<Topic> sentTopics = new ArrayList<>();
    int freeBytes = maxBytes;
    for (var entry : itemsByTopic.entrySet()) {
      QueuedItem queued = entry.getValue();
      if (queued.item.size() <= freeBytes) {
        freeBytes -= queued.item.size();
        selected.add(queued.item);
        sentTopics.add(entry.getKey());
      }
      if (freeBytes < Datagram.MemberInfoRequest.SIZE) {
        break;
      }
    }
    for (Topic topic : sentTopics) {
      QueuedItem queued = itemsByTopic.remove(topic);
      if (--queued.remainingSends > 0) {
        // Move it to the end: items sent least often come first.
        itemsByTopic.put(topic, queued);
      }
    }
    return selected;
  }
}
