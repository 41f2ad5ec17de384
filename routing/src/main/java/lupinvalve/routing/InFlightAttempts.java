package lupinvalve.routing;

import java.util.LinkedHashSet;

/** This router's attempts in flight to one server, oldest first. Only {@link AttemptDispatcher} changes it. */
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

    /** Returns the attempt that has been in flight for the longest time, or null if there is none. */
    Attempt oldest() {
        return attempts.isEmpty() ? null : attempts.iterator().next();
    }

    /**
     * Returns the number of attempts that the server may still be working on. An attempt counts as lost, and is left
     * out, once it has been in flight for over twice the time after which it was overdue and the server has answered
     * another attempt since it was overdue. Only the oldest attempts are examined, up to the first that is not lost.
     */
    int countWithoutLost(long nowMicros, long lastAnswerMicros) {
        int lost = 0;
        for (Attempt attempt : attempts) {
            if (nowMicros <= 2 * attempt.overdueAtMicros() - attempt.startedMicros()
                    || lastAnswerMicros <= attempt.overdueAtMicros()) {
                break;
            }
            lost++;
        }
        return attempts.size() - lost;
    }
}
