package lupinvalve.maintenance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** How much of a shared space one client may hold. */
class FairShareTest {
    @Test
    void oneClientMayHoldMuchOfAnEmptySpaceButNotAll() {
        assertTrue(FairShare.allows(90, 90, 180));
        assertFalse(FairShare.allows(91, 91, 180));
        assertTrue(FairShare.allows(0, 179, 180));
    }

    @Test
    void aClientThatHoldsNothingFindsSpaceBesideAnyNumberOfOthers() {
        for (int seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            int clients = 1 + random.nextInt(600);
            long limit = 1_000 * (clients + 1L);
            long[] held = new long[clients];
            long taken = 0;
            for (int i = 0; i < clients * 1_000; i++) {
                int client = random.nextInt(clients);
                int more = 1 + random.nextInt(50);
                if (FairShare.allows(held[client], taken, limit) && taken + more <= limit) {
                    held[client] += more;
                    taken += more;
                }
            }
            assertTrue(limit - taken >= limit / (2L + clients), "seed " + seed + ": " + (limit - taken) + " left");
        }
    }
}
