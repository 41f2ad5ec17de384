package lupinvalve.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * The request queue: requests that no server may have now wait here, until {@link QueueDeadline}. Writes go first, then
 * the others; among each, classes by priority weight over latency objective. Within a class the newest go first, so
 * that under overload some answers are in time, and clients' retries go last.
 */
final class RequestQueue {
    /** Part of the requests that clients can have open which may wait, so that other groups' clients find room. */
    private static final double MAX_OPEN_REQUESTS_RATIO = 0.3;
    /** How many of a class are looked at where each may need another log position. */
    private static final int MAX_SESSION_READS = 40;

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

    /** How many requests wait. */
    int size() {
        return queued.size();
    }

    /** Starts an attempt, queues the request, or gives it up where load shedding rejects it. */
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
            giveUpOne();
        }
    }

    /**
     * Of the group for which most wait, gives up the read that would be served last, if late answers to it are worth
     * little: one group's queue must not take all requests that clients can have open.
     */
    private void giveUpOne() {
        ServerGroup group = queued.longest(servers.groups());
        for (int i = classOrder.size() - 1; i >= 0; i--) {
            PendingRequest last = group.queues.ofClass(classOrder.get(i)).peekFirst();
            if (last != null && !last.isWrite() && last.requestClass.losesValueWhenLate()) {
                lifecycle.giveUp(last);
                return;
            }
        }
    }

    /** Starts attempts for as many of a group's queued requests as servers may have now. */
    void dispatch(ServerGroup group) {
        if (group.queues.size() == 0) {
            return;
        }
        for (int classIndex : classOrder) {
            boolean sessionReads = context.settings().classes().get(classIndex).access() == RequestClass.Access.SESSION;
            int remaining = sessionReads ? MAX_SESSION_READS : 1;
            Iterator<PendingRequest> newestFirst =
                    group.queues.ofClass(classIndex).descendingIterator();
            while (newestFirst.hasNext() && remaining > 0) {
                if (placement.place(newestFirst.next()) == PlacementResult.STARTED) {
                    queued.remove(newestFirst, group);
                } else {
                    remaining--;
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
