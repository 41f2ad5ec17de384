package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A change is in force within the time limit, or the pooler without it has lost the right to act. Each test plants one
 * violation or one exception.
 */
class InForceTest {
    private static final long LIMIT_MILLIS = 6_000;
    private final PoolerTimeline pooler = new PoolerTimeline();

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private InForce.Verdict evaluate(InForce.Acknowledged... changes) {
        return InForce.evaluate(List.of(changes), Map.of("h1", pooler), LIMIT_MILLIS, ms(60_000));
    }

    private static InForce.Acknowledged change(long revision, long atMillis) {
        return new InForce.Acknowledged(revision, ms(atMillis));
    }

    private void startActingOn(long revision) {
        pooler.started(ms(0));
        pooler.adopted(ms(10), revision);
        pooler.mayAct(ms(20), true);
    }

    @Test
    void changeInTimeIsMeasuredWithoutFindings() {
        startActingOn(1);
        pooler.adopted(ms(1_040), 2);
        InForce.Verdict verdict = evaluate(change(2, 1_000));
        assertEquals(40_000, verdict.latencyMicros().getMaxValue(), 100);
        assertEquals(0, verdict.unfencedLate() + verdict.fenced() + verdict.unleasedOldNanos());
        assertTrue(verdict.findings().isEmpty());
    }

    @Test
    void skippedRevisionIsInForceWithItsSuccessor() {
        startActingOn(1);
        pooler.adopted(ms(1_500), 3);
        InForce.Verdict verdict = evaluate(change(2, 1_000), change(3, 1_200));
        assertEquals(2, verdict.latencyMicros().getTotalCount());
        assertEquals(500_000, verdict.latencyMicros().getMaxValue(), 1_000);
    }

    @Test
    void actingOnAnOlderVersionAfterTheLimitIsFound() {
        startActingOn(1);
        pooler.adopted(ms(8_000), 2);
        InForce.Verdict verdict = evaluate(change(2, 1_000));
        assertEquals(1, verdict.unfencedLate());
        assertEquals(ms(1_000), verdict.unleasedOldNanos());
        assertFalse(verdict.findings().isEmpty());
    }

    @Test
    void neverAdoptingTheChangeIsFound() {
        startActingOn(1);
        assertEquals(1, evaluate(change(2, 1_000)).unfencedLate());
    }

    @Test
    void poolerWithoutTheRightToActIsNotLate() {
        startActingOn(1);
        pooler.mayAct(ms(3_000), false);
        pooler.adopted(ms(20_000), 2);
        pooler.mayAct(ms(20_010), true);
        InForce.Verdict verdict = evaluate(change(2, 1_000));
        assertEquals(0, verdict.unfencedLate());
        assertEquals(1, verdict.fenced());
        assertEquals(0, verdict.latencyMicros().getTotalCount());
    }

    @Test
    void regainingTheRightToActBeforeTheNewVersionIsFound() {
        startActingOn(1);
        pooler.mayAct(ms(3_000), false);
        pooler.mayAct(ms(20_000), true);
        pooler.adopted(ms(20_100), 2);
        InForce.Verdict verdict = evaluate(change(2, 1_000));
        assertEquals(1, verdict.unfencedLate());
        assertEquals(ms(100), verdict.unleasedOldNanos());
    }

    @Test
    void startingOnAnOldVersionWithTheRightToActIsFound() {
        pooler.started(ms(10_000));
        pooler.adopted(ms(10_010), 1);
        pooler.mayAct(ms(10_020), true);
        pooler.adopted(ms(10_100), 2);
        assertEquals(1, evaluate(change(2, 1_000)).unfencedLate());
    }

    @Test
    void poolerThatWasNotRunningIsNotMeasured() {
        startActingOn(1);
        pooler.stopped(ms(900));
        pooler.started(ms(1_200));
        pooler.adopted(ms(1_300), 2);
        pooler.mayAct(ms(1_310), true);
        InForce.Verdict verdict = evaluate(change(2, 1_000));
        assertEquals(0, verdict.latencyMicros().getTotalCount() + verdict.unfencedLate() + verdict.fenced());
        assertEquals(ms(1_310), pooler.readyAt(2, ms(900)));
        assertTrue(pooler.ready(2));
        assertFalse(pooler.ready(3));
    }
}
