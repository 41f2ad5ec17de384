package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * The queued requests, in one queue for each class of each group, and their number. This type only holds them;
 * {@link RequestQueue} decides which requests are queued and in which order they are served.
 */
final class QueuedRequests {
    private int size;

    /** The queues of one group, by class index. */
    static final class GroupQueues {
        private final List<ArrayDeque<PendingRequest>> byClass = new ArrayList<>();
        private int size;

        GroupQueues(int classCount) {
            for (int i = 0; i < classCount; i++) {
                byClass.add(new ArrayDeque<>());
            }
        }

        /** Returns the number of requests queued for this group. */
        int size() {
            return size;
        }

        /** Returns the queue of one class; its last request is served first. */
        ArrayDeque<PendingRequest> ofClass(int classIndex) {
            return byClass.get(classIndex);
        }

        /** Whether a write or a strong read is queued. */
        boolean hasRequestForPrimary() {
            for (ArrayDeque<PendingRequest> queue : byClass) {
                if (!queue.isEmpty() && (queue.peek().isWrite() || queue.peek().isStrongRead())) {
                    return true;
                }
            }
            return false;
        }
    }

    /** Returns the number of requests queued for all groups. */
    int size() {
        return size;
    }

    /** Adds a request to its queue, at the end that is served first or at the one that is served last. */
    void add(PendingRequest request, boolean servedFirst) {
        ArrayDeque<PendingRequest> queue = request.group.queues.ofClass(request.classIndex());
        if (servedFirst) {
            queue.addLast(request);
        } else {
            queue.addFirst(request);
        }
        changeSize(request.group, 1);
    }

    /** Removes a request from its queue if it is queued. */
    void remove(PendingRequest request) {
        if (request.group.queues.ofClass(request.classIndex()).remove(request)) {
            changeSize(request.group, -1);
        }
    }

    /** Removes the request that an iterator over one of the group's queues returned last. */
    void remove(Iterator<PendingRequest> iterator, ServerGroup group) {
        iterator.remove();
        changeSize(group, -1);
    }

    /** Returns the group with the most queued requests. */
    ServerGroup groupWithMostQueued(Collection<ServerGroup> groups) {
        return Collections.max(groups, Comparator.comparing(group -> group.queues.size));
    }

    private void changeSize(ServerGroup group, int change) {
        group.queues.size += change;
        size += change;
    }
}
