package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import lupinvalve.drills.DrainNotice.Basis;
import lupinvalve.drills.DrainNotice.NoticePeriod;
import org.junit.jupiter.api.Test;

/** A pooler counts as notified at the first answer or after six seconds, whichever comes first. */
class DrainNoticeTest {
    private static final long DRAIN_AT_MILLIS = 100_000;
    private static final long END_AT_MILLIS = 120_000;

    private static DrainNotice notice() {
        return new DrainNotice(DRAIN_AT_MILLIS, DrainNotice.NEVER);
    }

    @Test
    void aPoolerWithALiveWatchIsNotifiedAtTheWrite() {
        DrainNotice notice = notice();
        notice.answered(DRAIN_AT_MILLIS + 3);
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS + 3, END_AT_MILLIS, Basis.ANSWERED)),
                notice.ended(END_AT_MILLIS));
    }

    @Test
    void laterAnswersDoNotMoveTheNotice() {
        DrainNotice notice = notice();
        notice.answered(DRAIN_AT_MILLIS + 900);
        notice.answered(DRAIN_AT_MILLIS + 2_000);
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS + 900, END_AT_MILLIS, Basis.ANSWERED)),
                notice.ended(END_AT_MILLIS));
    }

    @Test
    void aPoolerThatIsNeverAnsweredCountsAsNotifiedAfterSixSeconds() {
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS + 6_000, END_AT_MILLIS, Basis.LIMIT)),
                notice().ended(END_AT_MILLIS));
    }

    @Test
    void anAnswerAfterTheSixSecondsDoesNotMoveTheNotice() {
        DrainNotice notice = notice();
        notice.answered(DRAIN_AT_MILLIS + 6_001);
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS + 6_000, END_AT_MILLIS, Basis.LIMIT)),
                notice.ended(END_AT_MILLIS));
    }

    @Test
    void aDrainThatEndsBeforeTheNoticeHasNoPeriod() {
        assertEquals(List.of(), notice().ended(DRAIN_AT_MILLIS + 6_000));
    }

    @Test
    void theStartOfAProcessDoesNotExtendTheSixSeconds() {
        DrainNotice notice = notice();
        notice.started(DRAIN_AT_MILLIS + 1_000);
        notice.started(DRAIN_AT_MILLIS + 4_000);
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS + 6_000, END_AT_MILLIS, Basis.LIMIT)),
                notice.ended(END_AT_MILLIS));
        DrainNotice startedLate = notice();
        startedLate.started(DRAIN_AT_MILLIS + 7_000);
        startedLate.answered(DRAIN_AT_MILLIS + 7_500);
        assertEquals(
                List.of(
                        new NoticePeriod(DRAIN_AT_MILLIS + 6_000, DRAIN_AT_MILLIS + 7_000, Basis.LIMIT),
                        new NoticePeriod(DRAIN_AT_MILLIS + 6_000, END_AT_MILLIS, Basis.LIMIT)),
                startedLate.ended(END_AT_MILLIS));
    }

    @Test
    void aStartedProcessIsNotifiedByItsOwnAnswer() {
        DrainNotice notice = notice();
        notice.answered(DRAIN_AT_MILLIS + 1);
        notice.started(DRAIN_AT_MILLIS + 2_000);
        notice.answered(DRAIN_AT_MILLIS + 2_700);
        assertEquals(
                List.of(
                        new NoticePeriod(DRAIN_AT_MILLIS + 1, DRAIN_AT_MILLIS + 2_000, Basis.ANSWERED),
                        new NoticePeriod(DRAIN_AT_MILLIS + 2_700, END_AT_MILLIS, Basis.ANSWERED)),
                notice.ended(END_AT_MILLIS));
    }

    @Test
    void aSilentWatchCountsAsNoticeSixSecondsAfterItFellSilent() {
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS + 4_000, END_AT_MILLIS, Basis.SILENCE)),
                new DrainNotice(DRAIN_AT_MILLIS, DRAIN_AT_MILLIS - 2_000).ended(END_AT_MILLIS));
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS, END_AT_MILLIS, Basis.SILENCE)),
                new DrainNotice(DRAIN_AT_MILLIS, DRAIN_AT_MILLIS - 20_000).ended(END_AT_MILLIS));
        DrainNotice answered = new DrainNotice(DRAIN_AT_MILLIS, DRAIN_AT_MILLIS - 2_000);
        answered.answered(DRAIN_AT_MILLIS + 700);
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS + 700, END_AT_MILLIS, Basis.ANSWERED)),
                answered.ended(END_AT_MILLIS));
    }

    @Test
    void aSilentWatchEndsWithItsProcess() {
        DrainNotice notice = new DrainNotice(DRAIN_AT_MILLIS, DRAIN_AT_MILLIS - 2_000);
        notice.started(DRAIN_AT_MILLIS + 1_000);
        assertEquals(
                List.of(new NoticePeriod(DRAIN_AT_MILLIS + 6_000, END_AT_MILLIS, Basis.LIMIT)),
                notice.ended(END_AT_MILLIS));
    }
}
