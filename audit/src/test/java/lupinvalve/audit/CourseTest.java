package lupinvalve.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CourseTest {
    private static final long S = 1_000_000;
    private final List<Entry> entries = new ArrayList<>();

    private void life(String pooler, long start, Object... said) {
        Journal journal = new Journal(pooler, start, 0);
        entries.addAll(journal.add(Entry.What.STARTED, "", 0, start, ""));
        for (int i = 0; i < said.length; i += 3) {
            entries.addAll(journal.add((Entry.What) said[i], (String) said[i + 1], i, (Integer) said[i + 2] * S, ""));
        }
    }

    private static String told(Course.Acted one) {
        return one.version() + " " + one.from() / S + "-" + (one.to() == Long.MAX_VALUE ? "?" : one.to() / S)
                + (one.ended() ? "" : "?");
    }

    private List<String> of(String pooler) {
        return new Course(entries).of(pooler).stream().map(CourseTest::told).toList();
    }

    @Test
    void oldAndNewMayBothBeActedOnBetweenTheTwoEntries() {
        life(
                "p",
                0,
                Entry.What.ADOPTED,
                "1-a",
                1,
                Entry.What.CEASED_OTHERS,
                "1-a",
                2,
                Entry.What.ADOPTED,
                "2-b",
                10,
                Entry.What.CEASED_OTHERS,
                "2-b",
                11,
                Entry.What.ENDED,
                "2-b",
                20);
        assertEquals(List.of("1-a 1-11", "2-b 10-20"), of("p"));
        Course course = new Course(entries);
        assertEquals(List.of("1-a", "2-b"), course.at(10 * S + 1).get(0).versions());
        assertTrue(course.at(10 * S + 1).get(0).sure());
        assertEquals(List.of(), course.at(21 * S).get(0).versions());
    }

    @Test
    void aFencedPoolerActsOnNothingUntilItReturns() {
        life(
                "p",
                0,
                Entry.What.ADOPTED,
                "1-a",
                1,
                Entry.What.CEASED_OTHERS,
                "1-a",
                1,
                Entry.What.FENCED,
                "1-a",
                5,
                Entry.What.CUT_OFF,
                "1-a",
                6,
                Entry.What.BACK,
                "1-a",
                7,
                Entry.What.ADOPTED,
                "2-b",
                8,
                Entry.What.CEASED_OTHERS,
                "2-b",
                8,
                Entry.What.RETURNED,
                "2-b",
                9);
        assertEquals(List.of("1-a 1-5", "2-b 9-??"), of("p"));
    }

    @Test
    void whatADeadPoolerActedOnLastIsNotKnownFromItsLastWordOn() {
        life("p", 0, Entry.What.ADOPTED, "1-a", 1, Entry.What.CEASED_OTHERS, "1-a", 1);
        assertEquals(List.of("1-a 1-??"), of("p"));
        Course course = new Course(entries);
        assertTrue(course.at(2 * S).get(0).sure());
        assertFalse(course.at(60 * S).get(0).sure());
        assertEquals("no entry since " + S + " us", course.at(60 * S).get(0).why());
        assertEquals(List.of("1-a"), course.at(60 * S).get(0).versions(), "it may have");
        life("p", 30 * S, Entry.What.ADOPTED, "2-b", 31);
        assertEquals(List.of("1-a 1-30?", "2-b 31-??"), of("p"), "its next process ends what it may have done");
    }

    @Test
    void entriesComeInAnyOrderAndTwiceAndOneThatIsMissingOrChangedShows() throws IOException {
        life("p", 0, Entry.What.ADOPTED, "1-a", 1, Entry.What.CEASED_OTHERS, "1-a", 2, Entry.What.ADOPTED, "2-b", 3);
        List<Entry> whole = List.copyOf(entries);
        java.util.Collections.reverse(entries);
        entries.addAll(whole);
        assertEquals(List.of(), new Course(entries).breaks());
        Entry second = whole.get(1);
        assertEquals(second, Entry.read(second.write()));
        List<Entry> missing = new ArrayList<>(whole);
        missing.remove(second);
        assertEquals(List.of("p's entries 2 to 2 are missing"), new Course(missing).breaks());
        List<Entry> changed = new ArrayList<>(missing);
        changed.add(
                new Entry("p", 0, 2, second.what(), "9-z", second.index(), second.atMicros(), 0, "", second.before()));
        assertEquals(List.of("p's entry 3 does not follow from 2"), new Course(changed).breaks());
    }

    @Test
    void whatIsDroppedForWantOfRoomIsSummedUp() {
        Journal journal = new Journal("p", 1, 0);
        List<Entry> all = new ArrayList<>();
        for (int i = 0; i <= Journal.MOST; i++) {
            all.addAll(journal.add(Entry.What.CUT_OFF, "", i, i, ""));
        }
        assertNull(Journal.broken(all));
        Entry summary = all.get(Journal.MOST);
        assertEquals(Entry.What.DROPPED, summary.what());
        assertEquals("2000 entries from 1 on, of 0 to 1999 us, 2000 of them not delivered", summary.why());
        assertEquals(2_002, journal.due(10_000).size());
        journal.delivered(summary.number());
        assertEquals(1, journal.due(10_000).size());
    }
}
