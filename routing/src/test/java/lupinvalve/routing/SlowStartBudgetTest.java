package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests how the budget for a server in slow start is earned, saved and used up. */
class SlowStartBudgetTest {
    @Test
    void partsUsedUpAddUpToWholeRequests() {
        SlowStartBudget budget = new SlowStartBudget();
        budget.restart(0, 0, 0.5);
        int sent = 0;
        for (int served = 1; served <= 100; served++) {
            budget.earn(served, 0.1, 1);
            sent += budget.spendPart(0.2) ? 1 : 0;
        }
        assertEquals(10, sent);
    }

    @Test
    void savedBudgetIsBoundedAfterATimeWithoutRequests() {
        SlowStartBudget budget = new SlowStartBudget();
        budget.restart(0, 0, 0);
        budget.earn(1000, 0.5, 0.3);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += budget.spendPart(0.1) ? 1 : 0;
        }
        assertEquals(0, sent);
    }

    @Test
    void routersThatEachUseUpPartOfARequestTogetherSendAboutTheSum() {
        SplittableRandom random = new SplittableRandom(1);
        int sent = 0;
        for (int router = 0; router < 1000; router++) {
            SlowStartBudget budget = new SlowStartBudget();
            budget.restart(0, 0, random.nextDouble());
            budget.earn(1, 0.1, 1);
            sent += budget.spendPart(1) ? 1 : 0;
        }
        assertTrue(sent > 70 && sent < 130, "sent where the parts add up to 100: " + sent);
    }

    @Test
    void wholeRequestsAreSpentOneByOne() {
        SlowStartBudget budget = new SlowStartBudget();
        budget.restart(10, 0.5, 0);
        assertFalse(budget.hasWholeRequest());
        budget.earn(12, 0.5, 3);
        assertTrue(budget.hasWholeRequest());
        budget.spend(1);
        assertFalse(budget.hasWholeRequest());
    }
}
