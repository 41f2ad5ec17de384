package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import lupinvalve.drills.DrainNotice.Basis;
import lupinvalve.drills.DrainNotice.Told;
import org.junit.jupiter.api.Test;

/** Told is the first answer or the six seconds, whichever comes first. */
class DrainNoticeTest {
    private static final long DRAIN = 100_000, END = 120_000;

    private static DrainNotice notice() {
        return new DrainNotice(DRAIN, DrainNotice.NEVER);
    }

    @Test
    void aPoolerWithALiveWatchIsToldAtTheWrite() {
        DrainNotice notice = notice();
        notice.answered(DRAIN + 3);
        assertEquals(List.of(new Told(DRAIN + 3, END, Basis.ANSWERED)), notice.ended(END));
    }

    @Test
    void laterAnswersSetNothingBack() {
        DrainNotice notice = notice();
        notice.answered(DRAIN + 900);
        notice.answered(DRAIN + 2_000);
        assertEquals(List.of(new Told(DRAIN + 900, END, Basis.ANSWERED)), notice.ended(END));
    }

    @Test
    void aPoolerThatIsNeverAnsweredIsToldAfterSixSeconds() {
        assertEquals(List.of(new Told(DRAIN + 6_000, END, Basis.LIMIT)), notice().ended(END));
    }

    @Test
    void anAnswerAfterTheSixSecondsSetsNothingBack() {
        DrainNotice notice = notice();
        notice.answered(DRAIN + 6_001);
        assertEquals(List.of(new Told(DRAIN + 6_000, END, Basis.LIMIT)), notice.ended(END));
    }

    @Test
    void aDrainThatEndsBeforeAnybodyIsToldBindsNobody() {
        assertEquals(List.of(), notice().ended(DRAIN + 6_000));
    }

    @Test
    void theStartOfAProcessDoesNotSetTheSixSecondsBack() {
        DrainNotice notice = notice();
        notice.started(DRAIN + 1_000);
        notice.started(DRAIN + 4_000);
        assertEquals(List.of(new Told(DRAIN + 6_000, END, Basis.LIMIT)), notice.ended(END));
        DrainNotice late = notice();
        late.started(DRAIN + 7_000);
        late.answered(DRAIN + 7_500);
        assertEquals(
                List.of(new Told(DRAIN + 6_000, DRAIN + 7_000, Basis.LIMIT), new Told(DRAIN + 6_000, END, Basis.LIMIT)),
                late.ended(END));
    }

    @Test
    void aProcessThatIsStartedLearnsFromItsOwnAnswer() {
        DrainNotice notice = notice();
        notice.answered(DRAIN + 1);
        notice.started(DRAIN + 2_000);
        notice.answered(DRAIN + 2_700);
        assertEquals(
                List.of(
                        new Told(DRAIN + 1, DRAIN + 2_000, Basis.ANSWERED),
                        new Told(DRAIN + 2_700, END, Basis.ANSWERED)),
                notice.ended(END));
    }

    @Test
    void aSilentWatchTellsSixSecondsAfterItFellSilent() {
        assertEquals(
                List.of(new Told(DRAIN + 4_000, END, Basis.SILENCE)), new DrainNotice(DRAIN, DRAIN - 2_000).ended(END));
        assertEquals(List.of(new Told(DRAIN, END, Basis.SILENCE)), new DrainNotice(DRAIN, DRAIN - 20_000).ended(END));
        DrainNotice answered = new DrainNotice(DRAIN, DRAIN - 2_000);
        answered.answered(DRAIN + 700);
        assertEquals(List.of(new Told(DRAIN + 700, END, Basis.ANSWERED)), answered.ended(END));
    }

    @Test
    void aSilentWatchEndsWithItsProcess() {
        DrainNotice notice = new DrainNotice(DRAIN, DRAIN - 2_000);
        notice.started(DRAIN + 1_000);
        assertEquals(List.of(new Told(DRAIN + 6_000, END, Basis.LIMIT)), notice.ended(END));
    }
}
