package lupinvalve.routing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import lupinvalve.routing.State.Group;
import lupinvalve.routing.State.Pending;

/**
 * The requests that wait for a db node, in a queue for each class of each group, and how many they are. Bookkeeping
 * only; {@link WaitQueue} decides what waits and in which order it goes on.
 */
final class QueuedRequests {
    private int size;

    /** How many wait in all groups. */
    int size() {
        return size;
    }

    /** Puts a request at the end or at the head of its queue. */
    void add(Pending request, boolean last) {
        ArrayDeque<Pending> queue = request.group.waiting.get(request.cls());
        if (last) {
            queue.addLast(request);
        } else {
            queue.addFirst(request);
        }
        count(request.group, 1);
    }

    /** Takes a request out if it waits. */
    void remove(Pending request) {
        if (request.group.waiting.get(request.cls()).remove(request)) {
            count(request.group, -1);
        }
    }

    /** Takes out what an iterator over one of the group's queues stands at. */
    void remove(Iterator<Pending> at, Group group) {
        at.remove();
        count(group, -1);
    }

    /** The group for which most wait. */
    Group longest(Collection<Group> groups) {
        return Collections.max(groups, Comparator.comparing(group -> group.held));
    }

    /** Whether anything that only a primary can answer waits. */
    boolean anyForPrimary(Group group) {
        return group.waiting.stream()
                .anyMatch(queue -> !queue.isEmpty()
                        && (queue.peek().write() || queue.peek().kind.access() == RequestClass.Access.STRONG));
    }

    private void count(Group group, int change) {
        group.held += change;
        size += change;
    }
}
