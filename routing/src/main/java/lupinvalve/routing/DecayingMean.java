package lupinvalve.routing;

/**
 * An exponentially weighted mean. The weight of a sample decays in two ways: with time, by {@link #DECAY_TIME_MICROS},
 * and with each newer sample once the weights add up to about {@link #MAX_SAMPLES}, so that the mean follows a change
 * within some dozen samples however many there were before. The mean includes a prior, given by the caller, with the
 * weight of a few samples, so that it stays near the prior while it holds few samples.
 */
final class DecayingMean {
    /** The time in which a sample's weight falls to 1/e. */
    static final double DECAY_TIME_MICROS = 3e6;
    /** The approximate upper bound of the sum of all weights, where a new sample's weight is 1. */
    static final double MAX_SAMPLES = 12;

    /** The weight of the prior, where a new sample's weight is 1. */
    private static final double PRIOR_WEIGHT_SAMPLES = 2;

    private double weightedSum;
    private double totalWeight;
    private long decayedAtMicros;

    /** Adds a sample with weight 1. The older weights are scaled down first where they exceed the bound. */
    void add(long nowMicros, double sample) {
        decay(nowMicros);
        double retainedRatio = Math.min(1, MAX_SAMPLES / (totalWeight + 1));
        weightedSum = weightedSum * retainedRatio + sample;
        totalWeight = totalWeight * retainedRatio + 1;
    }

    /** Returns the weighted mean of the samples and the prior. */
    double mean(long nowMicros, double prior) {
        decay(nowMicros);
        return (weightedSum + PRIOR_WEIGHT_SAMPLES * prior) / (totalWeight + PRIOR_WEIGHT_SAMPLES);
    }

    private void decay(long nowMicros) {
        double retainedRatio = Math.exp((decayedAtMicros - nowMicros) / DECAY_TIME_MICROS);
        weightedSum *= retainedRatio;
        totalWeight *= retainedRatio;
        decayedAtMicros = nowMicros;
    }
}
