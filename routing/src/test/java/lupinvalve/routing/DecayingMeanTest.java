package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How a mean leans on its prior, forgets, and weights the newest samples. */
class DecayingMeanTest {
    private static final long NOW = 1_000_000_000L;

    @Test
    void withoutSamplesItIsThePrior() {
        assertEquals(0.7, new DecayingMean().mean(NOW, 0.7), 1e-12);
    }

    @Test
    void priorWeighsAsMuchAsTwoSamples() {
        DecayingMean mean = new DecayingMean();
        mean.add(NOW, 1);
        mean.add(NOW, 1);
        assertEquals(0.5, mean.mean(NOW, 0), 1e-12);
    }

    @Test
    void samplesFadeWithinTheMemory() {
        DecayingMean mean = new DecayingMean();
        for (int i = 0; i < 100; i++) {
            mean.add(NOW, 1);
        }
        double fresh = mean.mean(NOW, 0);
        double faded = mean.mean(NOW + (long) DecayingMean.DECAY_TIME_MICROS, 0);
        double gone = mean.mean(NOW + (long) (20 * DecayingMean.DECAY_TIME_MICROS), 0);
        assertTrue(fresh > 0.8, "fresh " + fresh);
        assertTrue(faded < fresh && faded > 0.6, "faded " + faded);
        assertTrue(gone < 1e-6, "gone " + gone);
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
