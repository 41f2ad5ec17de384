package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the weights in a decaying mean: that of the prior, of old samples and of the newest samples. */
class DecayingMeanTest {
    private static final long NOW = 1_000_000_000L;

    @Test
    void meanWithoutSamplesIsThePrior() {
        assertEquals(0.7, new DecayingMean().mean(NOW, 0.7), 1e-12);
    }

    @Test
    void priorHasTheWeightOfTwoSamples() {
        DecayingMean mean = new DecayingMean();
        mean.add(NOW, 1);
        mean.add(NOW, 1);
        assertEquals(0.5, mean.mean(NOW, 0), 1e-12);
    }

    @Test
    void weightOfSamplesDecaysWithTime() {
        DecayingMean mean = new DecayingMean();
        for (int i = 0; i < 100; i++) {
            mean.add(NOW, 1);
        }
        double fresh = mean.mean(NOW, 0);
        double afterDecayTime = mean.mean(NOW + (long) DecayingMean.DECAY_TIME_MICROS, 0);
        double afterManyDecayTimes = mean.mean(NOW + (long) (20 * DecayingMean.DECAY_TIME_MICROS), 0);
        assertTrue(fresh > 0.8, "fresh " + fresh);
        assertTrue(afterDecayTime < fresh && afterDecayTime > 0.6, "after the decay time " + afterDecayTime);
        assertTrue(afterManyDecayTimes < 1e-6, "after 20 decay times " + afterManyDecayTimes);
    }

    @Test
    void newestSamplesOutweighAnyNumberOfOlderOnes() {
        DecayingMean mean = new DecayingMean();
        for (int i = 0; i < 10_000; i++) {
            mean.add(NOW, 0);
        }
        for (int i = 0; i < 2 * DecayingMean.MAX_SAMPLES; i++) {
            mean.add(NOW, 1);
        }
        assertTrue(mean.mean(NOW, 1) > 0.85, "mean " + mean.mean(NOW, 1));
    }
}
