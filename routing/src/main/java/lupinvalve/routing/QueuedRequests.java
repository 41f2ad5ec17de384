package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * The requests that wait for a server, in a queue for each class of each group, and how many they are. Bookkeeping
 * only; {@link RequestQueue} decides what waits and in which order it is served.
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

        /** How many wait in this group. */
        int size() {
            return size;
        }

        /** The queue of one class; the last in it is served first. */
        ArrayDeque<PendingRequest> ofClass(int classIndex) {
            return byClass.get(classIndex);
        }

        /** Whether anything that only a primary can answer waits. */
        boolean hasRequestForPrimary() {
            for (ArrayDeque<PendingRequest> queue : byClass) {
                if (!queue.isEmpty() && (queue.peek().isWrite() || queue.peek().isStrongRead())) {
                    return true;
                }
            }
            return false;
        }
    }

    /** How many wait in all groups. */
    int size() {
        return size;
    }

    /** Puts a request where it is served first in its queue, or last. */
    void add(PendingRequest request, boolean servedFirst) {
        ArrayDeque<PendingRequest> queue = request.group.queues.ofClass(request.classIndex());
        if (servedFirst) {
            queue.addLast(request);
        } else {
            queue.addFirst(request);
        }
        count(request.group, 1);
    }

    /** Removes a request if it waits. */
    void remove(PendingRequest request) {
        if (request.group.queues.ofClass(request.classIndex()).remove(request)) {
            count(request.group, -1);
        }
    }

    /** Removes what an iterator over one of the group's queues stands at. */
    void remove(Iterator<PendingRequest> position, ServerGroup group) {
        position.remove();
        count(group, -1);
    }

    /** The group for which most wait. */
    ServerGroup longest(Collection<ServerGroup> groups) {
        return Collections.max(groups, Comparator.comparing(group -> group.queues.size));
    }

    private void count(ServerGroup group, int change) {
        group.queues.size += change;
        size += change;
    }
}
