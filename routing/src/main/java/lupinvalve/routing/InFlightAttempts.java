package lupinvalve.routing;

import java.util.LinkedHashSet;

/** This router's attempts in flight to one server, oldest first. Changed by {@link AttemptDispatcher} alone. */
final class InFlightAttempts {
    private final LinkedHashSet<Attempt> attempts = new LinkedHashSet<>();

    void add(Attempt attempt) {
        attempts.add(attempt);
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt);
    }

    int count() {
        return attempts.size();
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** The attempt that is in flight for longest, or null. */
    Attempt oldest() {
        return attempts.isEmpty() ? null : attempts.iterator().next();
    }

    /**
     * How many the server may be at work on. Those in flight for twice the time until they were overdue, with others
     * answered since, are taken for lost.
     */
    int countWithoutLost(long nowMicros, long lastAnswerMicros) {
        int lost = 0;
        for (Attempt attempt : attempts) {
            if (nowMicros <= 2 * attempt.overdueMicros() - attempt.startedMicros()
                    || lastAnswerMicros <= attempt.overdueMicros()) {
                break;
            }
            lost++;
        }
        return attempts.size() - lost;
    }
}
