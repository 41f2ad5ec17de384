package lupinvalve.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * The request queue: holds requests that no server may take now, at most until their {@link QueueDeadline}. Writes are
 * served before reads, and classes of either kind in descending order of priority weight over latency objective. Within
 * a class the newest request is served first, so that under overload some answers are still in time; clients' retries
 * are served last.
 */
final class RequestQueue {
    /**
     * At most this part of the limit on open requests may be queued, in all groups together. The rest is left for
     * requests of groups that have a server available.
     */
    private static final double MAX_OPEN_REQUESTS_RATIO = 0.3;
    /**
     * The number of requests of a class of session reads that are tried without success in one dispatch. Each may need
     * another log position, so one that can't be placed does not mean that the next can't. For other classes it is 1.
     */
    private static final int MAX_UNPLACED_SESSION_READS = 40;

    private final RouterContext context;
    private final ServerTable servers;
    private final QueuedRequests queued;
    private final QueueDeadline deadline;
    private final RequestPlacement placement;
    private final RequestLifecycle lifecycle;
    private final List<Integer> classOrder = new ArrayList<>();

    RequestQueue(
            RouterContext context,
            ServerTable servers,
            QueuedRequests queued,
            QueueDeadline deadline,
            RequestPlacement placement,
            RequestLifecycle lifecycle) {
        this.context = context;
        this.servers = servers;
        this.queued = queued;
        this.deadline = deadline;
        this.placement = placement;
        this.lifecycle = lifecycle;
        List<RequestClass> classes = context.settings().classes();
        for (int i = 0; i < classes.size(); i++) {
            classOrder.add(i);
        }
        classOrder.sort(
                Comparator.comparing((Integer index) -> classes.get(index).access() != RequestClass.Access.WRITE)
                        .thenComparing(index -> -classes.get(index).priorityWeight()
                                / classes.get(index).latencyObjectiveMicros()));
    }

    /** Returns the number of queued requests. */
    int size() {
        return queued.size();
    }

    /** Starts an attempt of a request, or gives the request up if load shedding rejects it, or queues it. */
    void placeOrEnqueue(PendingRequest request) {
        switch (placement.place(request)) {
            case STARTED -> {}
            case SHED -> lifecycle.giveUp(request);
            case NO_SERVER -> enqueue(request);
        }
    }

    private void enqueue(PendingRequest request) {
        queued.add(request, !request.clientRetry);
        if (queued.size() > context.settings().limits().maxOpenRequests() * MAX_OPEN_REQUESTS_RATIO) {
            giveUpLowestPriorityRead();
        }
    }

    /**
     * Gives up one read of the group with the most queued requests: the one that would be served last, among classes
     * whose late answers are worth little. One group's queue must not take all requests that clients can have open.
     */
    private void giveUpLowestPriorityRead() {
        ServerGroup group = queued.groupWithMostQueued(servers.groups());
        for (int i = classOrder.size() - 1; i >= 0; i--) {
            PendingRequest last = group.queues.ofClass(classOrder.get(i)).peekFirst();
            if (last != null && !last.isWrite() && last.requestClass.losesValueWhenLate()) {
                lifecycle.giveUp(last);
                return;
            }
        }
    }

    /**
     * Starts attempts of a group's queued requests, class by class in serving order. A class ends with the first
     * request that can't be placed, or for session reads with the last of {@link #MAX_UNPLACED_SESSION_READS} such
     * requests.
     */
    void dispatch(ServerGroup group) {
        if (group.queues.size() == 0) {
            return;
        }
        for (int classIndex : classOrder) {
            boolean sessionReads = context.settings().classes().get(classIndex).access() == RequestClass.Access.SESSION;
            int remainingFailures = sessionReads ? MAX_UNPLACED_SESSION_READS : 1;
            Iterator<PendingRequest> newestFirst =
                    group.queues.ofClass(classIndex).descendingIterator();
            while (newestFirst.hasNext() && remainingFailures > 0) {
                if (placement.place(newestFirst.next()) == PlacementResult.STARTED) {
                    queued.remove(newestFirst, group);
                } else {
                    remainingFailures--;
                }
            }
        }
    }

    /** Gives up a group's requests whose queue deadline has passed. */
    void expire(ServerGroup group) {
        int classCount = context.settings().classes().size();
        for (int classIndex = 0; classIndex < classCount; classIndex++) {
            for (PendingRequest request : List.copyOf(group.queues.ofClass(classIndex))) {
                if (context.nowMicros() >= deadline.micros(request)) {
                    lifecycle.giveUp(request);
                }
            }
        }
    }
}
