package lupinvalve.routing;

/**
 * How many attempts one router may start at a server in slow start, in requests: what was earned and is not used up,
 * and how far it is to the next one that is admitted. {@link SlowStart} decides how much is earned and used up.
 */
final class SlowStartBudget {
    private double servedBefore;
    private double savedRequests;
    private double dueRequests;

    /** Begins anew at so many requests served, with a part of a request saved, and a part of the next one due. */
    void restart(double served, double alreadySaved, double alreadyDue) {
        servedBefore = served;
        savedRequests = alreadySaved;
        dueRequests = alreadyDue;
    }

    /** Earns a part of a request for each one served since the last call; at most so much is saved. */
    void earn(double served, double requestsPerServed, double maxSaved) {
        savedRequests = Math.min(maxSaved, savedRequests + (served - servedBefore) * requestsPerServed);
        servedBefore = served;
    }

    boolean hasWholeRequest() {
        return savedRequests >= 1;
    }

    void spend(double requests) {
        savedRequests -= requests;
    }

    /**
     * Uses up at most so much for one request, and tells whether it is the one to go: the parts used up add to the next
     * one due. Routers that begin with parts due drawn evenly from 0 to 1 send together, over any time, about the sum
     * of all parts used up, each at most one more than its own.
     */
    boolean spendPart(double maxRequests) {
        double part = Math.min(maxRequests, savedRequests);
        savedRequests -= part;
        dueRequests += part;
        boolean admitted = dueRequests >= 1;
        dueRequests -= admitted ? 1 : 0;
        return admitted;
    }
}
