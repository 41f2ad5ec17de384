package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each thing that must not be is seen, and nothing else. */
class BookTest {
    private final Book book = new Book();

    private void request(String id, boolean write, int runs, Book.Ending ending) {
        book.asked(id, "p0", write, 1_000);
        for (int i = 0; i < runs; i++) {
            book.ran(id, "n" + i);
        }
        if (ending != null) {
            book.ended(id, ending, 1_050);
        }
    }

    @Test
    void whatIsAsItShouldBeIsLeftAlone() {
        request("served", true, 1, Book.Ending.SERVED);
        request("refused", true, 0, Book.Ending.REFUSED);
        request("may have run", true, 1, Book.Ending.FAILED);
        request("tried again", false, 2, Book.Ending.SERVED);
        request("read elsewhere meanwhile", false, 1, Book.Ending.REFUSED);
        request("left unread under a reset", false, 0, Book.Ending.RESET);
        request("nobody there", true, 0, Book.Ending.NOT_TAKEN);
        assertTrue(book.verdict().good(), () -> book.verdict().findings().toString());
        assertEquals(7, book.verdict().requests());
    }

    @Test
    void aWriteThatRanTwiceIsSeen() {
        request("w", true, 2, Book.Ending.SERVED);
        assertEquals(1, book.verdict().doubled());
    }

    @Test
    void whatWasServedAndRanNowhereIsSeen() {
        request("r", false, 0, Book.Ending.SERVED);
        assertEquals(1, book.verdict().lost());
    }

    @Test
    void aWriteThatWasRefusedAndRanIsSeen() {
        request("w", true, 1, Book.Ending.REFUSED);
        assertEquals(1, book.verdict().refusedRan());
    }

    @Test
    void whatHasNoAnswerIsSeenUnlessItsPoolerWasGone() {
        request("silent", false, 0, Book.Ending.SILENT);
        request("open", false, 0, null);
        request("taken and dropped", false, 1, Book.Ending.RESET);
        request("taken, not forwarded, and its connection ended in order", false, 0, Book.Ending.ENDED);
        request("ended in order though a db node ran it", true, 1, Book.Ending.ENDED);
        request("nobody took it, and a db node ran it", false, 1, Book.Ending.NOT_TAKEN);
        assertEquals(6, book.verdict().unanswered());
        assertEquals(2, book.verdict().endedInOrder());
        book.down("p1", 0, 5_000);
        assertEquals(6, book.verdict().unanswered());
        book.down("p0", 1_040, 5_000);
        // What has not ended at all can't be set against the time that its pooler was gone.
        assertEquals(1, book.verdict().unanswered());
    }

    @Test
    void aValueThatIsNotTheOneOfItsDbNodeIsSeen() {
        request("r", false, 1, Book.Ending.SERVED);
        book.spoilt("r", 3);
        assertFalse(book.verdict().good());
    }

    @Test
    void anOldReadASecondEndAndAStrangerAreSeen() {
        request("r", false, 1, Book.Ending.SERVED);
        book.stale("r", 2_000, 1_990);
        assertEquals(1, book.verdict().stale());
        book.ended("r", Book.Ending.FAILED, 1_060);
        book.ran("nobody's", "n0");
        assertEquals(3, book.verdict().findings().size());
        assertFalse(book.verdict().good());
    }
}
