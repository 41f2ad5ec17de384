package lupinvalve.discovery;

/**
 * Decides how many questions may be open at a resolver, and when one counts as lost, from the times that answers take.
 * A resolver that answers one question after another shows longer times the more questions are open, so that few stay
 * open; one that answers them side by side is asked more at a time. No I/O; not thread-safe.
 */
final class QuestionWindow {
    private static final int INITIAL_SIZE = 2;
    private static final int MAX_SIZE = 32;
    /** Questions that may wait at the resolver before fewer are sent. */
    private static final int MAX_QUEUED = 2;
    /** Answers that come sooner show no queue at the resolver: threads and sockets alone take as long. */
    private static final long NO_QUEUE_MICROS = 20_000;

    private static final long INITIAL_TIMEOUT_MICROS = 1_000_000;
    private static final long MIN_TIMEOUT_MICROS = 100_000;
    private static final long MAX_TIMEOUT_MICROS = 3_000_000;
    private static final int TIMEOUT_FACTOR = 3;
    private static final int SMOOTHING_DIVISOR = 4;
    /** Age at which the shortest time is learned anew, by a question that is open alone. */
    private static final long SHORTEST_AGE_MICROS = 20_000_000;

    private int size = INITIAL_SIZE;
    private long smoothedMicros;
    private long shortestMicros = Long.MAX_VALUE;
    private long shortestAtMicros = Long.MIN_VALUE / 2;

    /** How many questions may be open. */
    int size() {
        return size;
    }

    /**
     * Whether the next question has to be open alone, so that its answer shows the resolver without a queue: while
     * several are always open, the times of all answers have their wait in it.
     */
    boolean needsLoneQuestion(long nowMicros) {
        boolean isShort = shortestMicros <= NO_QUEUE_MICROS && smoothedMicros <= NO_QUEUE_MICROS;
        return smoothedMicros > 0 && !isShort && nowMicros - shortestAtMicros >= SHORTEST_AGE_MICROS;
    }

    /** After what time a question without an answer is repeated. */
    long timeoutMicros() {
        return smoothedMicros == 0
                ? INITIAL_TIMEOUT_MICROS
                : Math.min(MAX_TIMEOUT_MICROS, Math.max(MIN_TIMEOUT_MICROS, TIMEOUT_FACTOR * smoothedMicros));
    }

    /**
     * Records an answer.
     *
     * @param openQuestions how many questions were open when its question was sent, itself included
     */
    void answered(long nowMicros, long tookMicros, int openQuestions) {
        long took = Math.max(1, tookMicros);
        smoothedMicros = smoothedMicros == 0 ? took : smoothedMicros + (took - smoothedMicros) / SMOOTHING_DIVISOR;
        updateShortest(nowMicros, took, openQuestions == 1);
        double served = took <= NO_QUEUE_MICROS ? openQuestions : (double) openQuestions * shortestMicros / took;
        if (openQuestions - served > MAX_QUEUED) {
            size = Math.max(1, Math.min(size, (int) served + 1));
        } else if (openQuestions - served < 1 && openQuestions >= size) {
            size = Math.min(MAX_SIZE, size + 1);
        }
    }

    private void updateShortest(long nowMicros, long tookMicros, boolean isLone) {
        boolean isOld = isLone && nowMicros - shortestAtMicros >= SHORTEST_AGE_MICROS;
        if (tookMicros <= shortestMicros || isOld) {
            shortestMicros = tookMicros;
            shortestAtMicros = nowMicros;
        }
    }

    /** The resolver has fallen silent: begins again with one question at a time. */
    void silent() {
        size = 1;
    }
}
