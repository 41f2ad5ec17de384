package lupinvalve.routing;

/**
 * The budget of attempts that one router may start at a server in slow start, in requests and parts of requests:
 * {@code savedRequests} is earned and not used up yet; {@code dueRequests} is used up in parts but has not yet added up
 * to an attempt. {@link SlowStart} decides how much is earned and used up.
 */
final class SlowStartBudget {
    /** The number of requests served at the last call of {@link #earn} or {@link #restart}. */
    private double servedAtLastEarn;

    private double savedRequests;
    private double dueRequests;

    /**
     * Resets the budget.
     *
     * @param served the number of requests that warm servers have served so far
     * @param alreadySaved the requests that the budget begins with
     * @param alreadyDue the part of the next attempt that counts as used up already
     */
    void restart(double served, double alreadySaved, double alreadyDue) {
        servedAtLastEarn = served;
        savedRequests = alreadySaved;
        dueRequests = alreadyDue;
    }

    /**
     * Adds what was earned since the last call.
     *
     * @param served the number of requests that warm servers have served so far
     * @param requestsPerServed the budget earned by each of them, in requests
     * @param maxSaved the greatest budget that is kept
     */
    void earn(double served, double requestsPerServed, double maxSaved) {
        savedRequests = Math.min(maxSaved, savedRequests + (served - servedAtLastEarn) * requestsPerServed);
        servedAtLastEarn = served;
    }

    boolean hasWholeRequest() {
        return savedRequests >= 1;
    }

    /** Uses up the budget of an attempt. */
    void spend(double requests) {
        savedRequests -= requests;
    }

    /**
     * Uses up to the given part of the budget for one request, and adds it to the part of the next attempt that is due.
     * If the routers begin with random due parts, uniform from 0 to 1, the attempts that they start together over any
     * time are about the sum of all parts used up in it, and those of each router exceed its own sum by at most one.
     *
     * @return whether the due parts have added up to one, so that an attempt of this request is admitted
     */
    boolean spendPart(double maxRequests) {
        double spentRequests = Math.min(maxRequests, savedRequests);
        savedRequests -= spentRequests;
        dueRequests += spentRequests;
        boolean admitted = dueRequests >= 1;
        dueRequests -= admitted ? 1 : 0;
        return admitted;
    }
}
