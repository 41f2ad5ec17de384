package lupinvalve.routing;

/**
 * A mean whose samples lose weight with time, and of which the newest count most. Where few samples were seen it leans
 * on a prior that the caller gives.
 */
final class DecayingMean {
    /** Time in which a sample's weight falls to 1/e. */
    static final double MEMORY_MICROS = 3e6;
    /** Samples that the mean holds at most. */
    static final double MAX_SAMPLES = 12;

    private static final double PRIOR_WEIGHT_SAMPLES = 2;
    private double sum;
    private double weightSamples;
    private long decayedAtMicros;

    void add(long nowMicros, double sample) {
        decay(nowMicros);
        double retained = Math.min(1, MAX_SAMPLES / (weightSamples + 1));
        sum = sum * retained + sample;
        weightSamples = weightSamples * retained + 1;
    }

    double mean(long nowMicros, double prior) {
        decay(nowMicros);
        return (sum + PRIOR_WEIGHT_SAMPLES * prior) / (weightSamples + PRIOR_WEIGHT_SAMPLES);
    }

    private void decay(long nowMicros) {
        double retained = Math.exp((decayedAtMicros - nowMicros) / MEMORY_MICROS);
        sum *= retained;
        weightSamples *= retained;
        decayedAtMicros = nowMicros;
    }
}
