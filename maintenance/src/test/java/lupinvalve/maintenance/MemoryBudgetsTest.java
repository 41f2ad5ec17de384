package lupinvalve.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The memory that is kept for clients fits the heap, and slow clients leave a part of it to the others. */
class MemoryBudgetsTest {
    private static final long MIB = 1 << 20;

    /** Guards against budgets that are each in bounds and together exceed the heap. */
    @Test
    void allBudgetsTogetherFitEachHeapThatAPoolerIsGiven() {
        for (long heapMib = 40; heapMib <= 4096; heapMib += 8) {
            long limitMib = MemoryBudgets.ofHeap(heapMib * MIB).limitBytes() / MIB;
            assertTrue(limitMib <= heapMib - 16, limitMib + " of " + heapMib + " MiB");
            assertTrue(limitMib >= (heapMib - 16) / 2 || limitMib >= 100, limitMib + " of " + heapMib + " MiB");
        }
    }

    /** Guards against slow readers whose answers leave no room for those of clients that read at once. */
    @Test
    void unreadAnswersLeaveRoomForClientsWithoutUnreadAnswers() {
        AnswerBudget answers = new AnswerBudget(9_000);
        assertTrue(answers.hasRoom(6_000, 1));
        answers.addUnread(6_000);
        assertTrue(answers.isNearLimit());
        assertFalse(answers.hasRoom(1, 1));
        assertTrue(answers.hasRoom(3_000, 0));
        assertFalse(answers.hasRoom(3_001, 0));
        answers.addUnread(-6_000);
        assertFalse(answers.isNearLimit());
    }

    /** Guards against one slow reader that leaves no room for the unread answers of another. */
    @Test
    void oneClientsUnreadAnswersLeaveRoomForAnotherClients() {
        AnswerBudget answers = new AnswerBudget(9_000_000);
        answers.addUnread(2_400_000);
        assertFalse(answers.allowsUnread(2_400_000));
        assertFalse(answers.hasRoom(1, 2_400_000));
        assertTrue(answers.hasRoom(2_000_000, 500_000));
        answers.addUnread(3_500_000);
        assertTrue(answers.hasRoom(30_000, 30_000));
        assertFalse(answers.hasRoom(30_000, 500_000));
    }

    /** Guards against clients whose commands take all the memory for commands. */
    @Test
    void oneClientsReservationsLeaveRoomForAnotherClients() {
        ByteBudget budget = new ByteBudget(100_000);
        long held = 0;
        while (budget.reserve(10_000, held)) {
            held += 10_000;
        }
        assertEquals(60_000, held);
        assertTrue(budget.reserve(10_000, 0));
        budget.add(30_000);
        assertFalse(budget.reserve(10_000, 5_000));
        assertTrue(budget.reserve(2_000, 1_000));
    }

    @Test
    void incomingAnswersAreBoundedTogetherWithUnreadOnes() {
        AnswerBudget answers = new AnswerBudget(9_000);
        answers.addUnread(5_000);
        assertTrue(answers.reserveIncoming(4_000));
        assertFalse(answers.reserveIncoming(1));
        answers.releaseIncoming(4_000);
        assertEquals(0, answers.incomingBytes());
        assertTrue(answers.reserveIncoming(1));
    }

    /** Guards against a few long answers that leave no memory for another client's short one. */
    @Test
    void longAnswersThatAreBeingReceivedLeaveRoomForShortOnes() {
        AnswerBudget answers = new AnswerBudget(1_000_000);
        long held = 0;
        while (answers.reserveIncoming(50_000, held)) {
            held += 50_000;
        }
        assertEquals(550_000, held);
        assertTrue(answers.reserveIncoming(400_000, 0));
        assertFalse(answers.reserveIncoming(100_000, 0));
        assertTrue(answers.reserveIncoming(10_000, 0));
        assertFalse(answers.reserveIncoming(10_000, 100_000));
    }

    @Test
    void aRefusedReservationTakesNothing() {
        ByteBudget budget = new ByteBudget(10);
        assertTrue(budget.reserve(8));
        assertFalse(budget.reserve(3));
        assertEquals(8, budget.takenBytes());
        budget.add(3);
        assertTrue(budget.isExhausted());
        budget.add(-11);
        assertEquals(0, budget.takenBytes());
    }
}
