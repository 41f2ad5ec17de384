package lupinvalve.routing;

/**
 * The budget of attempts that one router may start at a server in slow start, in requests and parts of requests:
 * {@code savedRequests} is earned and not used up yet; {@code partOfNextAttempt} is used up but has not yet added up to
 * a whole attempt. {@link SlowStart} decides how much is earned and used up.
 */
final class SlowStartBudget {
    /** The number of requests served at the last call of {@link #earn} or {@link #restart}. */
    private double servedAtLastEarn;

    private double savedRequests;
    private double partOfNextAttempt;

    /**
     * Resets the budget.
     *
     * @param served the number of requests that warm servers have served so far
     * @param alreadySaved the requests that the budget begins with
     * @param alreadyUsedUp the part of the next attempt that counts as used up already
     */
    void restart(double served, double alreadySaved, double alreadyUsedUp) {
        servedAtLastEarn = served;
        savedRequests = alreadySaved;
        partOfNextAttempt = alreadyUsedUp;
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
     * Takes the given part of a request from the saved budget, or all that is saved if that is less, and adds it to the
     * part of the next attempt. If each router begins with a random part of the next attempt, uniform from 0 to 1, then
     * over any period all routers together start about as many attempts as the sum of the parts that they use up, and
     * no router starts more than one attempt above its own sum.
     *
     * @return whether the parts have added up to a whole attempt, so that an attempt of this request is admitted
     */
    boolean spendPart(double maxRequests) {
        double spentRequests = Math.min(maxRequests, savedRequests);
        savedRequests -= spentRequests;
        partOfNextAttempt += spentRequests;
        boolean admitted = partOfNextAttempt >= 1;
        partOfNextAttempt -= admitted ? 1 : 0;
        return admitted;
    }
}
