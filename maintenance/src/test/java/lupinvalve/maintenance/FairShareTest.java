package lupinvalve.maintenance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** How much of a shared space one client may hold. */
class FairShareTest {
    @Test
    void oneClientMayHoldMuchOfAnEmptySpaceButNotAll() {
        assertTrue(FairShare.allows(90, 0, 90, 180));
        assertFalse(FairShare.allows(91, 0, 91, 180));
    }

    @Test
    void aClientGetsItsGuaranteedPartOfAFullSpace() {
        assertTrue(FairShare.allows(9, 10, 180, 180));
        assertFalse(FairShare.allows(10, 10, 180, 180));
    }

    /**
     * Clients that take what they are given, in any order, hold no more in all than the limit and what is guaranteed.
     */
    @Test
    void allTogetherStayInBoundsAndEachGetsWhatIsGuaranteed() {
        for (int seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            int clients = 1 + random.nextInt(600);
            int guaranteed = random.nextInt(20);
            int step = 1 + random.nextInt(50);
            long limit = 100L * (1 + random.nextInt(100));
            long[] held = new long[clients];
            long taken = 0;
            for (int i = 0; i < clients * 100; i++) {
                int client = random.nextInt(1 + random.nextInt(clients));
                if (FairShare.allows(held[client], guaranteed, taken, limit)) {
                    held[client] += step;
                    taken += step;
                }
            }
            long bound = limit + (long) clients * (guaranteed + step);
            assertTrue(taken <= bound, "seed " + seed + ": " + taken + " of " + bound);
            for (long one : held) {
                assertTrue(
                        one >= guaranteed || FairShare.allows(one, guaranteed, taken, limit),
                        "seed " + seed + ": " + one);
            }
        }
    }
}
