package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Drives the module through its interface alone. */
class RouterTest {
    private static final long MS = 1000;
    private static final int READ = 0;
    private static final int OWN = 1;
    private static final int LIVE = 2;
    private static final int WRITE = 3;
    private static final int REPORT = 4;

    private final List<RouterAction> done = new ArrayList<>();
    private long now = 1_000_000_000L;
    private Router router;

    private static RequestClass kind(String name, RequestClass.Access access, RequestClass.Effect effect, long aim) {
        return new RequestClass(
                name, access, 500 * MS, effect, RequestClass.KeyScope.GROUP, 3000 * MS, aim, 4 * aim, 1, 0.2);
    }

    private static RouterSettings settings(
            RouterSettings.FreshnessCheck check, RouterSettings.TokenSource tokens, RequestClass.Effect write) {
        return new RouterSettings(
                0,
                2,
                0,
                true,
                List.of(
                        kind("read", RequestClass.Access.BOUNDED, RequestClass.Effect.SAFE, 200 * MS),
                        kind("own", RequestClass.Access.SESSION, RequestClass.Effect.SAFE, 200 * MS),
                        kind("live", RequestClass.Access.STRONG, RequestClass.Effect.SAFE, 200 * MS),
                        kind("write", RequestClass.Access.WRITE, write, 500 * MS),
                        kind("report", RequestClass.Access.ANY, RequestClass.Effect.SAFE, 2000 * MS)),
                new RouterSettings.SiteLimits(8, false, true, true, true, 1_000_000, 10_000),
                new RouterSettings.Rules(8 * MS, 1000 * MS, 10_000 * MS, 0.2, 10_000 * MS, 2, 1500 * MS),
                new RouterSettings.Replication(check, 50 * MS, tokens));
    }

    private void start(
            RouterSettings.FreshnessCheck check, RouterSettings.TokenSource tokens, RequestClass.Effect write) {
        router = new Router(7, settings(check, tokens, write), now, done::add);
        list(ListForm.RESTORED, live("a", true), live("b", false), live("c", false));
    }

    private static Endpoint live(String node, boolean primary) {
        return new Endpoint(node, 1, 0, EndpointState.LIVE, primary, 0);
    }

    private void list(ListForm form, Endpoint... members) {
        give(new RouterEvent.EndpointUpdate(form, List.of(members)));
    }

    private void give(RouterEvent event) {
        router.handle(now, event, done::add);
    }

    private void request(String id, int cls, String session, long left) {
        give(new RouterEvent.RequestArrived(id, cls, false, session, 0, 1, left));
    }

    private void probed(String node, long position, ServerRole role) {
        give(new RouterEvent.HealthCheckEnded(node, AttemptOutcome.SERVED, MS, position, role));
    }

    private void outcome(String id, int attempt, String node, AttemptOutcome ending, long position, ServerRole role) {
        give(new RouterEvent.AttemptEnded(
                id, attempt, node, ending, 20 * MS, ending == AttemptOutcome.SERVED, position, role));
    }

    /** Lets time pass, firing the timer of the module whenever it may be due. */
    private void pass(long micros) {
        for (long end = now + micros; now < end; ) {
            now += 5 * MS;
            give(new RouterEvent.TimerFired(1));
        }
    }

    private RouterAction.StartAttempt lastSend(String id) {
        RouterAction.StartAttempt found = null;
        for (RouterAction a : done) {
            if (a instanceof RouterAction.StartAttempt s && s.id().equals(id)) {
                found = s;
            }
        }
        return found;
    }

    private String sentTo(String id) {
        RouterAction.StartAttempt s = lastSend(id);
        return s == null ? null : s.node();
    }

    private long sends(String id) {
        return done.stream()
                .filter(a -> a instanceof RouterAction.StartAttempt s && s.id().equals(id))
                .count();
    }

    private long refusals(String id) {
        return done.stream()
                .filter(a -> a instanceof RouterAction.Reject r && r.id().equals(id))
                .count();
    }

    private long failures(String id) {
        return done.stream()
                .filter(a -> a instanceof RouterAction.Fail f && f.id().equals(id))
                .count();
    }

    private void known() {
        probed("a", now, ServerRole.PRIMARY);
        probed("b", now - 20 * MS, ServerRole.REPLICA);
        probed("c", now - 20 * MS, ServerRole.REPLICA);
    }

    // ---- tokens, the hold and the fall-back ----

    @Test
    void sessionReadGoesOnlyToReplicaThatHasReachedTheToken() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        request("w", WRITE, "s", 2000 * MS);
        assertEquals("a", sentTo("w"));
        now += 20 * MS;
        outcome("w", 0, "a", AttemptOutcome.SERVED, now - MS, ServerRole.PRIMARY);
        request("r", OWN, "s", 800 * MS);
        assertNull(sentTo("r"), "no replica has reached the token yet");
        now += 10 * MS;
        probed("c", now, ServerRole.REPLICA);
        assertEquals("c", sentTo("r"));
    }

    @Test
    void sessionWithoutTokenReadsFromAReplicaAtOnce() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        request("r", OWN, "other", 800 * MS);
        assertTrue(List.of("b", "c").contains(sentTo("r")));
    }

    @Test
    void heldReadFallsBackToThePrimaryInTime() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        request("w", WRITE, "s", 2000 * MS);
        outcome("w", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        request("r", OWN, "s", 800 * MS);
        assertNull(sentTo("r"));
        pass(150 * MS);
        assertEquals("a", sentTo("r"));
        assertEquals(0, refusals("r"));
    }

    @Test
    void carriedTokenBindsWhereMembersGuardThemselves() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        probed("a", now, ServerRole.PRIMARY);
        probed("b", now - 3000 * MS, ServerRole.REPLICA);
        probed("c", now - 10 * MS, ServerRole.REPLICA);
        for (int i = 0; i < 6; i++) {
            give(new RouterEvent.RequestArrived("r" + i, OWN, false, "s", 300 * MS, 1, 800 * MS));
            assertEquals("c", sentTo("r" + i));
        }
    }

    @Test
    void aReadThatMissedDoesNotSpendItsTriesBeforeTheReplicasHaveMovedOn() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        give(new RouterEvent.RequestArrived("r", OWN, false, "s", MS, 1, 800 * MS));
        for (int i = 0; i < 2; i++) {
            outcome("r", i, sentTo("r"), AttemptOutcome.MISSED, now - 28 * MS, ServerRole.REPLICA);
        }
        assertEquals(2, sends("r"));
        // On sockets news comes within a fraction of a millisecond: each may not lead to a further try.
        now += 2 * MS;
        list(ListForm.UPDATE);
        assertEquals(2, sends("r"));
        pass(60 * MS);
        assertEquals(3, sends("r"));
    }

    @Test
    void strongReadSparesThePrimaryWhereMembersAwait() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        request("r", LIVE, null, 800 * MS);
        assertNotEquals("a", sentTo("r"));
    }

    @Test
    void writesFindThePrimaryInSortedOrderAndStopAtItsAnswer() {
        router = new Router(
                7,
                settings(
                        RouterSettings.FreshnessCheck.AWAIT,
                        RouterSettings.TokenSource.CARRIED,
                        RequestClass.Effect.UNSAFE),
                now,
                done::add);
        list(ListForm.RESTORED, live("a", false), live("b", false), live("c", false));
        request("w", WRITE, "s", 2000 * MS);
        assertEquals("a", sentTo("w"));
        outcome("w", 0, "a", AttemptOutcome.MISSED, now - 10 * MS, ServerRole.REPLICA);
        pass(100 * MS);
        assertEquals("b", sentTo("w"));
        outcome("w", 1, "b", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        request("x", WRITE, "s", 2000 * MS);
        assertEquals("b", sentTo("x"));
    }

    @Test
    void changeOfPrimaryHoldsWritesUntilTheSuccessorShows() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        request("w", WRITE, "s", 2000 * MS);
        outcome("w", 0, "a", AttemptOutcome.NOT_CONNECTED, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        assertEquals(1, sends("w"));
        assertEquals(0, refusals("w"));
        now += 300 * MS;
        probed("c", now, ServerRole.PRIMARY);
        assertEquals("c", sentTo("w"));
    }

    @Test
    void lateReportOfAnOldPrimaryDoesNotUndoNewerEvidence() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        long before = now;
        now += 4000 * MS;
        probed("c", now, ServerRole.PRIMARY);
        probed("a", before + MS, ServerRole.PRIMARY);
        request("w", WRITE, "s", 2000 * MS);
        assertEquals("c", sentTo("w"));
    }

    // ---- rule 1: no request is lost ----

    @Test
    void everyHeldRequestGetsOneFinalAnswerBeforeItsTimeIsUp() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        list(ListForm.FULL, new Endpoint("a", 1, 0, EndpointState.DEPARTED, true, 0));
        for (int cls = READ; cls <= REPORT; cls++) {
            request("q" + cls, cls, "s", 400 * MS);
        }
        pass(400 * MS);
        for (int cls = READ; cls <= REPORT; cls++) {
            assertEquals(1, refusals("q" + cls), "class " + cls);
            assertEquals(0, sends("q" + cls), "class " + cls);
        }
    }

    @Test
    void whatNeverWentOutIsRefusedBeforeHalfItsTimeAndWhatHasReachedAMemberIsHeldOn() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        list(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0));
        request("w1", WRITE, "s", 900 * MS);
        assertEquals("c", sentTo("w1"));
        // The one member left says that it is no primary, and then leaves too.
        outcome("w1", 0, "c", AttemptOutcome.MISSED, LogPosition.UNKNOWN, ServerRole.REPLICA);
        list(ListForm.UPDATE, new Endpoint("c", 1, 0, EndpointState.DEPARTED, false, 0));
        request("w2", WRITE, "s", 400 * MS);
        pass(180 * MS);
        assertEquals(0, refusals("w2"));
        pass(20 * MS);
        assertEquals(1, refusals("w2"));
        assertEquals(0, refusals("w1"));
        // Half of its aim is as long as a write is held at all.
        pass(60 * MS);
        assertEquals(1, refusals("w1"));
    }

    @Test
    void requestOfAnUnknownGroupOrWithNoTimeIsRefusedAtOnce() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        give(new RouterEvent.RequestArrived("g", READ, false, null, 0, 99, 400 * MS));
        request("t", READ, null, MS);
        assertEquals(1, refusals("g"));
        assertEquals(1, refusals("t"));
    }

    @Test
    void nothingGoesOutAfterTheClientHasGone() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        request("r", READ, null, 400 * MS);
        give(new RouterEvent.ClientDisconnected("r"));
        assertTrue(done.contains(new RouterAction.CancelAttempt("r", 0)));
        outcome("r", 0, sentTo("r"), AttemptOutcome.CANCELLED, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        pass(500 * MS);
        assertEquals(1, sends("r"));
        assertEquals(0, refusals("r") + failures("r"));
    }

    @Test
    void newsOfUnknownRequestsIsIgnored() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        int before = done.size();
        outcome("nobody", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        give(new RouterEvent.ClientDisconnected("nobody"));
        give(new RouterEvent.TimerFired(99));
        assertEquals(before, done.size());
    }

    // ---- rule 2: no effect twice ----

    @Test
    void unsafeWriteThatMayHaveRunFailsAndIsNeverSentAgain() {
        for (AttemptOutcome ending : List.of(
                AttemptOutcome.ERROR, AttemptOutcome.TIMED_OUT, AttemptOutcome.BROKEN, AttemptOutcome.CANCELLED)) {
            done.clear();
            start(
                    RouterSettings.FreshnessCheck.SILENT,
                    RouterSettings.TokenSource.REMEMBERED,
                    RequestClass.Effect.UNSAFE);
            known();
            request("w", WRITE, "s", 2000 * MS);
            outcome("w", 0, "a", ending, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            pass(1900 * MS);
            assertEquals(1, sends("w"), ending.name());
            assertEquals(1, failures("w"), ending.name());
            assertEquals(0, refusals("w"), ending.name());
        }
    }

    @Test
    void unsafeWriteProvenNotToHaveRunIsSentAgain() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        request("w", WRITE, "s", 2000 * MS);
        outcome("w", 0, "a", AttemptOutcome.REJECTED, now, ServerRole.PRIMARY);
        pass(200 * MS);
        assertEquals(2, sends("w"));
    }

    @Test
    void keyedWriteIsSentAgainWithinItsKeyTimeAndThenFails() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        request("w", WRITE, "s", 5000 * MS);
        outcome("w", 0, "a", AttemptOutcome.ERROR, now, ServerRole.PRIMARY);
        assertEquals(2, sends("w"));
        now += 3100 * MS;
        outcome("w", 1, "a", AttemptOutcome.ERROR, now, ServerRole.PRIMARY);
        pass(1000 * MS);
        assertEquals(2, sends("w"));
        assertEquals(1, failures("w"));
        assertEquals(0, refusals("w"));
    }

    @Test
    void oneAttemptIsOutAtATime() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        request("r", READ, null, 800 * MS);
        pass(300 * MS);
        assertEquals(1, sends("r"));
    }

    // ---- rule 3: drains are kept ----

    @Test
    void drainingReplicaGetsNothingNewAndDrainingPrimaryOnlyWritesWithinTheGrace() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        list(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.DRAINING, true, 0),
                new Endpoint("b", 1, 0, EndpointState.DRAINING, false, 0));
        for (int i = 0; i < 8; i++) {
            request("r" + i, READ, null, 400 * MS);
            assertEquals("c", sentTo("r" + i));
            outcome("r" + i, 0, "c", AttemptOutcome.SERVED, now, ServerRole.REPLICA);
        }
        request("w", WRITE, "s", 2000 * MS);
        assertEquals("a", sentTo("w"));
        pass(1000 * MS);
        request("x", WRITE, "s", 400 * MS);
        pass(300 * MS);
        assertNotEquals("a", sentTo("x"));
    }

    @Test
    void memberMissingFromAWholeListGetsNothing() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        list(ListForm.FULL, live("a", true), live("b", false));
        for (int i = 0; i < 6; i++) {
            request("r" + i, READ, null, 400 * MS);
            assertEquals("b", sentTo("r" + i));
        }
    }

    // ---- rule 4: a cold node is not pushed over ----

    @Test
    void coldReplicaGetsNoMoreThanItsWarmthOfWhatWarmOnesGet() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        list(ListForm.UPDATE, new Endpoint("b", 1, 0, EndpointState.LIVE, false, now));
        int cold = 0;
        int warm = 0;
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            request(id, READ, null, 400 * MS);
            String node = sentTo(id);
            cold += "b".equals(node) ? 1 : 0;
            warm += "c".equals(node) || "a".equals(node) ? 1 : 0;
            now += 2 * MS;
            outcome(
                    id,
                    0,
                    node,
                    AttemptOutcome.SERVED,
                    now - 5 * MS,
                    node.equals("a") ? ServerRole.PRIMARY : ServerRole.REPLICA);
        }
        assertTrue(cold > 0, "a cold replica does get some work");
        assertTrue(cold <= warm * 0.3, cold + " against " + warm);
    }

    @Test
    void longWorkStaysOffColdReplicas() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        list(ListForm.UPDATE, new Endpoint("b", 1, 0, EndpointState.LIVE, false, now));
        request("l", REPORT, null, 4000 * MS);
        assertEquals("c", sentTo("l"));
    }

    // ---- rule 5: no stale read ----

    @Test
    void boundedReadIsJudgedAtTheMomentOfTheSend() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        now += 490 * MS;
        request("late", READ, null, 800 * MS);
        assertFalse(List.of("b", "c").contains(String.valueOf(sentTo("late"))), "positions are too old by now");
    }

    @Test
    void strongReadGoesToThePrimaryWhereNobodyElseGuards() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        request("r", LIVE, null, 800 * MS);
        assertEquals("a", sentTo("r"));
    }

    @Test
    void memberThatSaidItIsAReplicaIsNotReadAsAPrimary() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        request("w", WRITE, "s", 2000 * MS);
        now += 20 * MS;
        outcome("w", 0, "a", AttemptOutcome.MISSED, now - 10 * MS, ServerRole.REPLICA);
        request("r", LIVE, null, 800 * MS);
        assertNull(sentTo("r"));
    }

    @Test
    void positionsNeverGoBack() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        known();
        probed("b", now - 3000 * MS, ServerRole.REPLICA);
        probed("c", now - 3000 * MS, ServerRole.REPLICA);
        request("r", READ, null, 800 * MS);
        assertTrue(List.of("b", "c").contains(sentTo("r")), "what was told once stays proven");
    }

    // ---- failures met ----

    /** Incident ia16a3b: time-outs alone must not make a member cold. */
    @Test
    void timeOutsDoNotThrottleAMemberAsIfItWereCold() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        request("t", READ, null, 400 * MS);
        String node = sentTo("t");
        now += 300 * MS;
        outcome("t", 0, node, AttemptOutcome.TIMED_OUT, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        give(new RouterEvent.HealthCheckEnded(node, AttemptOutcome.SERVED, MS, now - 10 * MS, ServerRole.REPLICA));
        int there = 0;
        for (int i = 0; i < 12; i++) {
            request("r" + i, READ, null, 400 * MS);
            there += node.equals(sentTo("r" + i)) ? 1 : 0;
        }
        assertTrue(there >= 4, "got " + there);
    }

    /** Incident idbd205: a member that is full is not asked again at once. */
    private void probeFails(String node) {
        give(new RouterEvent.HealthCheckEnded(
                node, AttemptOutcome.TIMED_OUT, 250 * MS, LogPosition.UNKNOWN, ServerRole.UNKNOWN));
    }

    @Test
    void failedProbesAloneEjectNobody() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        for (int i = 0; i < 3; i++) {
            now += 300 * MS;
            probeFails("b");
            probeFails("c");
        }
        request("r", READ, null, 800 * MS);
        assertTrue(List.of("b", "c").contains(sentTo("r")), "a replica that serves stays in use: " + sentTo("r"));
    }

    @Test
    void manyRoutersRefuseAtOnceInProportionAsAnswersAreLate() {
        RouterSettings two = settings(
                RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        router = new Router(
                7,
                new RouterSettings(0, 200, 0, true, two.classes(), two.limits(), two.rules(), two.replication()),
                now,
                done::add);
        list(ListForm.RESTORED, live("a", true), live("b", false), live("c", false));
        known();
        int refusedEarly = 0;
        int refusedLate = 0;
        for (int i = 0; i < 60; i++) {
            now += 200 * MS;
            request("r" + i, READ, null, 800 * MS);
            if (refusals("r" + i) > 0) {
                refusedEarly += i < 1 ? 1 : 0;
                refusedLate++;
            } else if (sentTo("r" + i) != null) {
                give(new RouterEvent.AttemptEnded(
                        "r" + i,
                        0,
                        sentTo("r" + i),
                        AttemptOutcome.SERVED,
                        190 * MS,
                        true,
                        now - MS,
                        ServerRole.REPLICA));
            }
        }
        assertEquals(0, refusedEarly, "nothing is refused before anything was late");
        assertTrue(refusedLate > 15 && refusedLate < 55, "refused: " + refusedLate);
        int repeatsRefused = 0;
        for (int i = 0; i < 20; i++) {
            String id = "again" + i;
            give(new RouterEvent.RequestArrived(id, READ, true, null, 0, 1, 800 * MS));
            repeatsRefused += refusals(id);
            if (sentTo(id) != null) {
                outcome(id, 0, sentTo(id), AttemptOutcome.MISSED, now - MS, ServerRole.REPLICA);
            }
        }
        assertTrue(repeatsRefused >= 18, "repeats go first: " + repeatsRefused);
    }

    private long closes() {
        return done.stream()
                .filter(a -> a instanceof RouterAction.CloseIdleConnections)
                .count();
    }

    @Test
    void connectionLostWhileIdleIsClosedBeforeUseFromThenOnAndNoMemberIsBlamed() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        request("r0", READ, null, 800 * MS);
        String first = sentTo("r0");
        now += 20 * MS;
        outcome("r0", 0, first, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        now += 1000 * MS;
        request("r1", READ, null, 800 * MS);
        assertEquals(first, sentTo("r1"));
        now += 790 * MS;
        give(new RouterEvent.AttemptEnded(
                "r1", 0, first, AttemptOutcome.TIMED_OUT, 790 * MS, false, LogPosition.UNKNOWN, ServerRole.UNKNOWN));
        assertEquals(1, closes(), "the lost connection is closed");
        for (int i = 0; i < 2; i++) {
            now += 1000 * MS;
            request("s" + i, READ, null, 800 * MS);
        }
        assertTrue(first.equals(sentTo("s0")) || first.equals(sentTo("s1")), "the member stays in use: " + first);
    }

    private void errs(String id, int attempt) {
        now += 10 * MS;
        give(new RouterEvent.AttemptEnded(
                id, attempt, sentTo(id), AttemptOutcome.ERROR, 5 * MS, false, now - MS, ServerRole.REPLICA));
    }

    @Test
    void oneBrokenConnectionBlamesNobodyButTwoWithNoAnswerBetweenDo() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        known();
        for (String id : List.of("w1", "w2", "w3")) {
            request(id, WRITE, "s", 2000 * MS);
            outcome(id, 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            request(id + "b", WRITE, "s", 2000 * MS);
            assertEquals("a", sentTo(id + "b"));
            outcome(id + "b", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        }
        request("w4", WRITE, "s", 2000 * MS);
        request("w5", WRITE, "s", 2000 * MS);
        outcome("w4", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        outcome("w5", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        request("w6", WRITE, "s", 2000 * MS);
        assertNull(sentTo("w6"));
        // It proves little as yet: a probe goes out at once, and its answer brings the member back on trial.
        assertTrue(done.contains(new RouterAction.CheckHealth("a")), "a first strike has no pause");
        probed("a", now, ServerRole.PRIMARY);
        assertEquals("a", sentTo("w6"));
        request("w7", WRITE, "s", 2000 * MS);
        assertNull(sentTo("w7"), "one at a time on trial");
        outcome("w6", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        assertEquals("a", sentTo("w7"));
    }

    @Test
    void aHeldReadHasItsLastLookAtThePrimaryThoughItsEndIsDueAtTheSameTick() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        probed("a", now, ServerRole.PRIMARY);
        for (String behind : List.of("b", "c")) {
            probed(behind, now - 530 * MS, ServerRole.REPLICA);
        }
        request("r", READ, null, 800 * MS);
        assertNull(sentTo("r"), "a replica may be fresh enough within a fifth of the aim");
        now += 45 * MS;
        give(new RouterEvent.TimerFired(1));
        assertEquals("a", sentTo("r"));
        assertEquals(0, refusals("r"));
    }

    @Test
    void aMemberThatAnswersWhileItIsLeftOutIsUsedAtOnce() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        known();
        List<String> out = List.of("w1", "w2", "w3", "w4");
        out.forEach(id -> request(id, WRITE, "s", 2000 * MS));
        for (String id : out.subList(0, 3)) {
            outcome(id, 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        }
        request("w5", WRITE, "s", 2000 * MS);
        assertNull(sentTo("w5"), "three breaks in a row: left out, now for some time");
        outcome("w4", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        assertEquals("a", sentTo("w5"), "the dead answer nobody");
    }

    @Test
    void readsHeldForAGroupInTroubleDoNotTakeAllThatClientsCanHaveOpen() {
        RouterSettings s = settings(
                RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        router = new Router(
                7,
                new RouterSettings(
                        0,
                        2,
                        0,
                        true,
                        s.classes(),
                        new RouterSettings.SiteLimits(8, false, true, true, true, 1_000_000, 20),
                        s.rules(),
                        s.replication()),
                now,
                done::add);
        list(ListForm.FULL, new Endpoint("a", 1, 0, EndpointState.DRAINING, false, 0));
        for (int i = 0; i < 8; i++) {
            request("r" + i, READ, null, 2000 * MS);
            request("w" + i, WRITE, null, 2000 * MS);
        }
        // Six may be held: the reads go, the oldest first, since the newest is served first; the writes stay.
        assertEquals(
                8,
                done.stream()
                        .filter(a -> a instanceof RouterAction.Reject r && r.id().startsWith("r"))
                        .count());
        assertEquals(
                0,
                done.stream()
                        .filter(a -> a instanceof RouterAction.Reject r && r.id().startsWith("w"))
                        .count());
        RouterAction.Reject first = (RouterAction.Reject) done.stream()
                .filter(RouterAction.Reject.class::isInstance)
                .findFirst()
                .orElseThrow();
        assertEquals("r0", first.id());
        assertTrue(first.retryAfterMicros() < 100 * MS, "in time for an aim of 200 ms");
    }

    @Test
    void aMemberThatLostConnectionsAndThenHadNothingToDoIsNotTakenForRestarted() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        known();
        for (String id : List.of("x1", "x2")) {
            request(id, WRITE, "s", 2000 * MS);
        }
        outcome("x1", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        outcome("x2", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        pass(3000 * MS);
        probed("a", now, ServerRole.PRIMARY);
        request("x3", WRITE, "s", 2000 * MS);
        outcome("x3", 0, "a", AttemptOutcome.SERVED, now, ServerRole.PRIMARY);
        // A cold member earns a few at a time.
        for (int i = 0; i < 7; i++) {
            request("y" + i, WRITE, "s", 2000 * MS);
            assertEquals("a", sentTo("y" + i));
        }
    }

    @Test
    void membersThatHaveLeftAreForgottenOnceNothingIsOutAtThem() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        known();
        request("w", WRITE, "s", 60_000 * MS);
        for (int i = 0; i < 50; i++) {
            list(ListForm.UPDATE, live("n" + i, false));
            list(
                    ListForm.UPDATE,
                    new Endpoint("n" + i, 1, 0, EndpointState.DEPARTED, false, 0),
                    new Endpoint("never" + i, 1, 0, EndpointState.DEPARTED, false, 0));
        }
        list(ListForm.UPDATE, new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0));
        pass(6000 * MS);
        // b, c and a, at which the write is still out.
        assertEquals(3, router.serverCount());
        outcome("w", 0, "a", AttemptOutcome.BROKEN, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        pass(200 * MS);
        assertEquals(2, router.serverCount());
        // A group all of whose members have left still answers.
        list(ListForm.FULL);
        pass(6000 * MS);
        assertEquals(0, router.serverCount());
        request("r", READ, null, 2000 * MS);
        request("v", WRITE, "s", 2000 * MS);
        pass(2000 * MS);
        assertEquals(1, refusals("r"));
        assertEquals(1, refusals("v"));
    }

    @Test
    void requestThatFailsAnywhereIsGivenUpAndBlamesNobody() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        for (int i = 0; i < 20; i++) {
            request("bad" + i, READ, null, 800 * MS);
            errs("bad" + i, 0);
            errs("bad" + i, 1);
            errs("bad" + i, 2);
            assertEquals(3, sends("bad" + i));
            assertEquals(1, refusals("bad" + i));
        }
        request("good", READ, null, 800 * MS);
        assertTrue(List.of("b", "c").contains(sentTo("good")));
    }

    @Test
    void memberIsToldForHowLongAReadIsWantedAndTheReadIsGivenUpThen() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        known();
        request("r", READ, null, 800 * MS);
        assertEquals(200 * MS, lastSend("r").startWithinMicros());
        assertTrue(lastSend("r").timeoutMicros() > 200 * MS, "what is running may end: its connection stays");
        now += 210 * MS;
        outcome("r", 0, sentTo("r"), AttemptOutcome.REJECTED, now, ServerRole.REPLICA);
        assertEquals(1, sends("r"));
        assertEquals(1, refusals("r"));
    }

    @Test
    void repeatThatCannotBeInTimeIsShedFirst() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        RouterSettings s = settings(
                RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.UNSAFE);
        router = new Router(
                7,
                new RouterSettings(0, 14, 0, true, s.classes(), s.limits(), s.rules(), s.replication()),
                now,
                done::add);
        list(ListForm.RESTORED, live("a", true), live("b", false), live("c", false));
        known();
        int[] refused = new int[2];
        for (int i = 0; i < 400; i++) {
            boolean repeat = i % 4 == 3;
            String id = "r" + i;
            request(id, READ, null, repeat ? 300 * MS : 700 * MS);
            now += 5 * MS;
            if (sentTo(id) == null) {
                refused[repeat ? 1 : 0]++;
            } else {
                give(new RouterEvent.AttemptEnded(
                        id, 0, sentTo(id), AttemptOutcome.SERVED, 90 * MS, true, now, ServerRole.REPLICA));
            }
        }
        assertTrue(refused[1] > 60, "of 100 repeats " + refused[1]);
        assertTrue(refused[0] < 150, "of 300 first tries " + refused[0]);
    }

    @Test
    void memberThatFailsWhatOthersServeIsEjected() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        request("r", READ, null, 800 * MS);
        String bad = sentTo("r");
        outcome("r", 0, bad, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        int failed = 0;
        for (int i = 0; i < 40; i++) {
            String id = "r" + i;
            request(id, READ, null, 800 * MS);
            int attempt = 0;
            if (sentTo(id).equals(bad)) {
                failed++;
                errs(id, attempt++);
            }
            assertNotEquals(bad, sentTo(id));
            outcome(id, attempt, sentTo(id), AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        }
        // One of many routers sees few requests: what another member served settles it at the first error.
        assertEquals(1, failed, "attempts at the failing member");
        pass(300 * MS);
        request("trial", READ, null, 800 * MS);
        assertEquals(bad, sentTo("trial"), "a request tries it, without a probe first");
        outcome("trial", 0, bad, AttemptOutcome.SERVED, now - MS, ServerRole.REPLICA);
        assertEquals(
                0,
                done.stream()
                        .filter(a -> a.equals(new RouterAction.CheckHealth(bad)))
                        .count());
    }

    @Test
    void readFallsBackAtOnceWhereProbesFailAndNoNewsCame() {
        start(RouterSettings.FreshnessCheck.SILENT, RouterSettings.TokenSource.REMEMBERED, RequestClass.Effect.UNSAFE);
        probed("a", now, ServerRole.PRIMARY);
        probeFails("b");
        probeFails("c");
        now += 600 * MS;
        request("r", READ, null, 800 * MS);
        assertEquals("a", sentTo("r"), "no probe can tell of a replica, so there is nothing to wait for");
    }

    @Test
    void fullMemberIsLeftAloneForAWhile() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        request("w", WRITE, "s", 2000 * MS);
        outcome("w", 0, "a", AttemptOutcome.REJECTED, now, ServerRole.PRIMARY);
        assertEquals(1, sends("w"));
        pass(100 * MS);
        assertEquals(2, sends("w"));
    }

    /** Hunted day ha5f5fe: work that warm members fail must not earn a cold one more. */
    @Test
    void failedWorkAtWarmMembersEarnsAColdOneNothing() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        list(ListForm.UPDATE, new Endpoint("b", 1, 0, EndpointState.LIVE, false, now));
        int cold = 0;
        for (int i = 0; i < 200; i++) {
            String id = "r" + i;
            request(id, READ, null, 400 * MS);
            String node = sentTo(id);
            cold += "b".equals(node) ? 1 : 0;
            if (node != null) {
                outcome(id, 0, node, AttemptOutcome.REJECTED, now, ServerRole.UNKNOWN);
                give(new RouterEvent.ClientDisconnected(id));
            }
            now += 2 * MS;
        }
        assertEquals(0, cold);
    }

    /** Hunted day ha2d460: latencies that swell at warm members must not earn a cold one more. */
    @Test
    void slowAnswersOfWarmMembersEarnAColdOneNoMore() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        list(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.LIVE, true, now),
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0));
        probed("a", now + MS, ServerRole.PRIMARY);
        int reads = 0;
        int writes = 0;
        for (int i = 0; i < 200; i++) {
            request("r" + i, READ, null, 400 * MS);
            if (sentTo("r" + i) != null) {
                reads++;
                give(new RouterEvent.AttemptEnded(
                        "r" + i,
                        0,
                        sentTo("r" + i),
                        AttemptOutcome.SERVED,
                        150 * MS,
                        true,
                        now - MS,
                        sentTo("r" + i).equals("a") ? ServerRole.PRIMARY : ServerRole.REPLICA));
            }
            request("w" + i, WRITE, "s", 2000 * MS);
            now += 2 * MS;
        }
        for (int i = 0; i < 200; i++) {
            writes += sentTo("w" + i) != null ? 1 : 0;
        }
        assertTrue(writes > 0 && writes <= reads * 0.4, writes + " against " + reads);
    }

    /** Incident i10cd02: in overload the newest first try goes first where late answers are worth little. */
    @Test
    void newestHeldReadIsServedFirst() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        int i = 0;
        while (i < 200 && (i == 0 || sentTo("f" + (i - 1)) != null)) {
            request("f" + i++, READ, null, 400 * MS);
        }
        now += MS;
        request("newest", READ, null, 400 * MS);
        give(new RouterEvent.RequestArrived("again", READ, true, null, 0, 1, 400 * MS));
        assertNull(sentTo("newest"), "all members are full");
        assertNull(sentTo("again"), "all members are full");
        String node = sentTo("f0");
        outcome("f0", 0, node, AttemptOutcome.SERVED, now, node.equals("a") ? ServerRole.PRIMARY : ServerRole.REPLICA);
        assertEquals(node, sentTo("newest"));
        assertNull(sentTo("again"));
    }

    /** The second deployment's overload day: bounds that shrank by 3 in 100 an answer took 5 s, with all late. */
    @Test
    void theBoundAtAMemberFollowsItsLatencyWithinAFewTurns() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        int turns = 0;
        int out = Integer.MAX_VALUE;
        // Each turn fills the primary with writes, then all of them are answered after their aim.
        for (; turns < 4 && out > 3; turns++) {
            out = 0;
            for (int i = 0; i < 30; i++) {
                request("t" + turns + "." + i, WRITE, "s", 2000 * MS);
                out += sentTo("t" + turns + "." + i) != null ? 1 : 0;
            }
            now += 600 * MS;
            for (int i = 0; i < 30; i++) {
                String id = "t" + turns + "." + i;
                if (sentTo(id) != null) {
                    give(new RouterEvent.AttemptEnded(
                            id, 0, "a", AttemptOutcome.SERVED, 600 * MS, true, now, ServerRole.PRIMARY));
                }
                give(new RouterEvent.ClientDisconnected(id));
            }
        }
        assertEquals(3, out, "after turns: " + turns);
    }

    /** A held read whose answer could only come late is refused while its client can still ask again in time. */
    @Test
    void aHeldReadIsRefusedOnceItsAnswerCouldOnlyBeLate() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        for (int i = 0; i < 12; i++) {
            request("s" + i, READ, null, 800 * MS);
            now += 10 * MS;
            give(new RouterEvent.AttemptEnded(
                    "s" + i, 0, sentTo("s" + i), AttemptOutcome.SERVED, 120 * MS, true, now, ServerRole.REPLICA));
        }
        list(
                ListForm.UPDATE,
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("c", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0));
        request("held", READ, null, 800 * MS);
        // Answers here take over half of the aim of 200 ms.
        pass(110 * MS);
        assertEquals(1, refusals("held"));
    }

    /** The newest go first, so who has waited long is hardly served any more: told early, it can come back in time. */
    @Test
    void whatIsHeldGoesBeforeItsClientCouldNotComeBackInTime() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        list(
                ListForm.UPDATE,
                new Endpoint("a", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("b", 1, 0, EndpointState.DEPARTED, false, 0),
                new Endpoint("c", 1, 0, EndpointState.DEPARTED, false, 0));
        request("read", READ, null, 800 * MS);
        request("write", WRITE, "s", 2000 * MS);
        pass(40 * MS);
        assertEquals(0, refusals("read"), "within a fifth of its aim a replica may still come");
        pass(15 * MS);
        assertEquals(1, refusals("read"));
        assertEquals(0, refusals("write"));
        pass(210 * MS);
        assertEquals(1, refusals("write"));
    }

    /** While a replica holds a long read nothing is applied there: a second one does not go to another. */
    @Test
    void longReadsWaitForTheReplicaKeptForThemAndReadsOfAnyAgeGoThere() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        int sent = 0;
        for (int i = 0; i < 40; i++) {
            request("l" + i, REPORT, null, 8000 * MS);
            if (sentTo("l" + i) != null) {
                assertEquals("b", sentTo("l" + i));
                sent++;
            }
        }
        assertTrue(sent > 0 && sent < 40, "sent " + sent);
    }

    /** The second deployment's day churn: one answer in seven got lost, and bounds sank to their least for it. */
    @Test
    void answersThatGetLostBesideOthersTakeNoRoomAndLeaveTheBound() {
        start(RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        known();
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = "w" + i;
            request(id, WRITE, "s", 2000 * MS);
            now += 10 * MS;
            if (sentTo(id) != null && i % 7 != 0) {
                served++;
                give(new RouterEvent.AttemptEnded(
                        id, 0, "a", AttemptOutcome.SERVED, 20 * MS, true, now, ServerRole.PRIMARY));
            }
            String lost = "w" + (i - 100);
            if (i % 7 == 100 % 7 && sentTo(lost) != null) {
                give(new RouterEvent.AttemptEnded(
                        lost,
                        0,
                        "a",
                        AttemptOutcome.TIMED_OUT,
                        1000 * MS,
                        false,
                        LogPosition.UNKNOWN,
                        ServerRole.UNKNOWN));
            }
            give(new RouterEvent.TimerFired(1));
        }
        assertTrue(served > 330, "of 342 that could be: " + served);
    }

    /** Where a crossing has its price, a read goes on to the own zone while that is not much slower. */
    @Test
    void readsStayInTheirZoneTheLongerTheMoreACrossingCosts() {
        assertTrue(crossings(0.04) < 8, "dear: " + crossings(0.04));
        assertTrue(crossings(0) > 9, "free: " + crossings(0));
    }

    /** Of 30 reads at once, how many leave their zone. */
    private long crossings(double price) {
        done.clear();
        RouterSettings s = settings(
                RouterSettings.FreshnessCheck.BOUNCE, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        router = new Router(
                7,
                new RouterSettings(0, 1, 0, true, s.classes(), s.limits(), s.rules(), s.replication(), price),
                now,
                done::add);
        list(
                ListForm.RESTORED,
                live("a", true),
                live("b", false),
                live("c", false),
                new Endpoint("far", 1, 1, EndpointState.LIVE, false, 0),
                new Endpoint("further", 1, 1, EndpointState.LIVE, false, 0));
        for (String id : List.of("b", "c", "far", "further")) {
            probed(id, now, ServerRole.REPLICA);
        }
        for (int i = 0; i < 24; i++) {
            request("r" + i, READ, null, 400 * MS);
        }
        return done.stream()
                .filter(a -> a instanceof RouterAction.StartAttempt send
                        && send.node().startsWith("f"))
                .count();
    }

    // ---- the rest ----

    @Test
    void sameEventsGiveTheSameActions() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        play();
        List<RouterAction> first = List.copyOf(done);
        done.clear();
        now = 1_000_000_000L;
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        play();
        assertEquals(first, done);
    }

    private void play() {
        known();
        for (int i = 0; i < 40; i++) {
            request("q" + i, i % 5, "s", 600 * MS);
            pass(10 * MS);
        }
        pass(1000 * MS);
    }

    @Test
    void aRouterSubscribesAtOnceAndAsksAgainAfterAFailure() {
        start(RouterSettings.FreshnessCheck.AWAIT, RouterSettings.TokenSource.CARRIED, RequestClass.Effect.KEYED);
        assertTrue(done.contains(new RouterAction.WatchEndpoints(true)));
        done.clear();
        give(new RouterEvent.EndpointUpdate(ListForm.UNAVAILABLE, List.of()));
        pass(1000 * MS);
        assertTrue(done.contains(new RouterAction.WatchEndpoints(true)));
    }

    @Test
    void settingsOutOfRangeAreTurnedDownByName() {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> new RouterSettings.SiteLimits(0, false, true, true, true, 0, 1));
        assertTrue(e.getMessage().contains("attempts_cap"));
        assertThrows(
                IllegalArgumentException.class, () -> kind("x", RequestClass.Access.ANY, RequestClass.Effect.SAFE, -1));
    }
}
