package lupinvalve.maintenance;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Decides whose request is submitted next where clients send more at once than can be served at once: each client has
 * its share of what is open (see {@link FairShare}), the others of its requests wait, and the clients that wait take
 * turns. No I/O; not thread-safe.
 */
public final class FairAdmission {
    /** Requests that each client may have open, whatever others have. */
    private static final int GUARANTEED_REQUESTS = 1;

    private final int limit;
    private final IntSupplier open;
    private final ArrayDeque<Client> waitingClients = new ArrayDeque<>();

    /** The requests of one client. */
    public static final class Client {
        private final ArrayDeque<BooleanSupplier> waiting = new ArrayDeque<>(0);
        private int openRequests;
    }

    /**
     * @param limit requests that can be served at once
     * @param open requests of all clients that are open now, with attempts that clients have left behind
     */
    public FairAdmission(int limit, IntSupplier open) {
        this.limit = limit;
        this.open = open;
    }

    /**
     * Submits a request, now or in a later call of {@link #admitWaiting}, after the earlier ones of its client.
     *
     * @param submission submits the request; returns false if it has ended meanwhile, so that nothing was submitted
     */
    public void request(Client client, BooleanSupplier submission) {
        if (client.waiting.isEmpty() && isWithinShare(client)) {
            submit(client, submission);
            return;
        }
        client.waiting.add(submission);
        if (client.waiting.size() == 1) {
            waitingClients.add(client);
        }
    }

    private boolean isWithinShare(Client client) {
        return FairShare.allows(client.openRequests, GUARANTEED_REQUESTS, open.getAsInt(), limit);
    }

    private static void submit(Client client, BooleanSupplier submission) {
        // Counted first: the request may end, and be given back, while it is being submitted.
        client.openRequests++;
        if (!submission.getAsBoolean()) {
            client.openRequests--;
        }
    }

    /** A submitted request of a client has ended; {@link #admitWaiting} is to be called soon. */
    public void ended(Client client) {
        client.openRequests--;
    }

    /** The client has left: none of its waiting requests is submitted. */
    public void removed(Client client) {
        client.waiting.clear();
        waitingClients.remove(client);
    }

    /** Whether requests wait. */
    public boolean hasWaiting() {
        return !waitingClients.isEmpty();
    }

    /** Submits waiting requests that are within their clients' shares now, one of a client in turn. */
    public void admitWaiting() {
        for (int refused = 0; refused < waitingClients.size(); ) {
            Client client = waitingClients.poll();
            if (isWithinShare(client)) {
                submit(client, client.waiting.poll());
                refused = 0;
            } else {
                refused++;
            }
            if (!client.waiting.isEmpty()) {
                waitingClients.add(client);
            }
        }
    }
}
