package lupinvalve.subscription;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import lupinvalve.audit.Lease;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;
import org.junit.jupiter.api.Test;

/** Unit tests of the decisions of members and subscribers. */
class DecisionsTest {
    private static final List<String> MEMBERS = List.of("a", "b", "c");

    private static ReplicatedState.Document document(long revision, String text) {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        return new ReplicatedState.Document(revision, revision * 10, ReplicatedState.digest(content), content);
    }

    private static WatchRequest request(long index, ReplicatedState.Document current) {
        return new WatchRequest(
                WatchRequest.VERSION,
                index,
                current == null ? 0 : current.revision(),
                current == null ? "" : current.digest(),
                WatchResponse.digest(Map.of()),
                true,
                false,
                "");
    }

    @Test
    void aDeltaTransformsAnyTextIntoAnyOther() throws IOException {
        Random random = new Random(1);
        for (int i = 0; i < 5_000; i++) {
            // Only two letters, so that matches overlap.
            byte[] before = randomText(random);
            byte[] after = randomText(random);
            DocumentDelta delta = DocumentDelta.between(before, after);
            assertArrayEquals(after, delta.apply(before));
        }
        assertRejected(new DocumentDelta.Instruction(3, 3, new byte[0]), 5);
        assertRejected(new DocumentDelta.Instruction(Integer.MAX_VALUE, Integer.MAX_VALUE, new byte[0]), 5);
        assertRejected(new DocumentDelta.Instruction(-1, 1, new byte[0]), 5);
        assertRejected(new DocumentDelta.Instruction(0, 1, new byte[ReplicatedState.MAX_DOCUMENT_BYTES]), 5);
    }

    private static void assertRejected(DocumentDelta.Instruction instruction, int length) {
        assertThrows(IOException.class, () -> new DocumentDelta(List.of(instruction)).apply(new byte[length]));
    }

    @Test
    void aDeltaOfThreeChangedEntriesIsUnder900Bytes() throws IOException {
        Random random = new Random(2);
        String[] entries = new String[1_200];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = entry(i, random.nextInt(60_000));
        }
        byte[] before = document(entries);
        for (int round = 0; round < 200; round++) {
            for (int change = 0; change < 3; change++) {
                int index = random.nextInt(entries.length);
                entries[index] = random.nextInt(10) == 0 ? "" : entry(index, random.nextInt(60_000));
            }
            byte[] after = document(entries);
            DocumentDelta delta = DocumentDelta.between(before, after);
            assertArrayEquals(after, delta.apply(before));
            assertTrue(delta.sizeBytes() < 900, delta.sizeBytes() + " bytes of " + after.length);
            before = after;
        }
    }

    private static String entry(int number, int value) {
        return "{\"name\":\"db-" + number + "\",\"address\":\"10.0." + number / 256 + "." + number % 256 + ":" + value
                + "\",\"locality\":\"zone-" + number % 7 + "\",\"weight\":" + value % 100 + ",\"owner\":\"team-"
                + value % 40 + "\"},";
    }

    private static byte[] document(String[] entries) {
        return ("{\"databases\":[" + String.join("", entries) + "{}]}").getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] randomText(Random random) {
        byte[] text = new byte[random.nextInt(random.nextBoolean() ? 12 : 300)];
        for (int i = 0; i < text.length; i++) {
            text[i] = (byte) ('a' + random.nextInt(2));
        }
        return text;
    }

    @Test
    void historyIsBoundedAndClearedIfRevisionsAreSkipped() {
        RevisionHistory history = new RevisionHistory();
        ReplicatedState.Document first = document(1, "x".repeat(2_000) + "1");
        history.onAccepted(first);
        for (int revision = 2; revision <= RevisionHistory.DELTAS_MAX_COUNT + 2; revision++) {
            history.onAccepted(document(revision, "x".repeat(2_000) + revision));
        }
        assertNull(history.since(1, first.digest()), "the delta has been evicted");
        ReplicatedState.Document last = document(
                RevisionHistory.DELTAS_MAX_COUNT + 1, "x".repeat(2_000) + (RevisionHistory.DELTAS_MAX_COUNT + 1));
        assertEquals(1, history.since(last.revision(), last.digest()).size());
        assertNull(history.since(last.revision(), "another content"));
        history.onAccepted(first);
        assertEquals(
                RevisionHistory.DELTAS_MAX_COUNT + 2, history.current().revision(), "an older revision is ignored");
        history.onAccepted(document(1_000, "y".repeat(100)));
        assertNull(history.since(last.revision(), last.digest()));
        history.onAccepted(document(1_001, "z".repeat(100)));
        assertNull(history.since(1_000, history.current().digest()), "deltas as large as the document are not used");
    }

    @Test
    void requestsAndResponsesAreDecodedAsEncodedAndNewerVersionsAreRejected() throws IOException {
        WatchRequest request = new WatchRequest(WatchRequest.VERSION, 7, 2, "d", "h", true, false, "o");
        assertEquals(request, WatchRequest.read(request.write()));
        WatchRequest newer = new WatchRequest(WatchRequest.VERSION + 1, 7, 2, "d", "h", true, false, "o");
        assertEquals(
                "version 2 of following is asked for; this member speaks 1",
                assertThrows(WatchRequest.UnsupportedVersionException.class, () -> WatchRequest.read(newer.write()))
                        .getMessage());
        Map<Command.DrainTarget, ReplicatedState.Drain> drains = new TreeMap<>();
        drains.put(new Command.DrainTarget(Command.TargetKind.POOLER, "p"), new ReplicatedState.Drain("w", 5));
        WatchResponse response = new WatchResponse(1, 2, "why", 3, 4, new WatchResponse.Event.Unchanged(), drains);
        assertEquals(response, WatchResponse.read(response.write()));
        ReplicatedState.Document document = document(3, "{}");
        WatchResponse decoded = WatchResponse.read(
                new WatchResponse(1, 2, "", 3, 4, new WatchResponse.Event.FullDocument(document), null).write());
        assertArrayEquals(
                document.content(),
                ((WatchResponse.Event.FullDocument) decoded.event()).document().content());
    }

    @Test
    void aMemberGrantsNoLeasePastItsOwnNorToALaggingSubscriber() {
        SubscriberLeases leases = new SubscriberLeases(0);
        assertEquals(0, leases.renew("s", 5, "", 0).durationMicros(), "the member has no lease itself");
        leases.onOwnLease(1_500_000, 5, 0);
        assertEquals(1_500_000, leases.renew("s", 5, "", 0).durationMicros());
        leases.onOwnLease(10_000_000, 5, 100);
        assertEquals(Lease.DURATION_MICROS, leases.renew("s", 5, "", 100).durationMicros());
        leases.onChange(9, 200);
        assertTrue(leases.renew("s", 5, "", 200 + SubscriberLeases.CATCH_UP_MICROS - 1)
                        .durationMicros()
                > 0);
        SubscriberLeases.Grant denied = leases.renew("s", 5, "", 200 + SubscriberLeases.CATCH_UP_MICROS);
        assertEquals(new SubscriberLeases.Grant(0, "acts on change 5, 9 is wanted"), denied);
        assertEquals(
                "can't",
                leases.renew("s", 5, "can't", 200 + SubscriberLeases.CATCH_UP_MICROS)
                        .denial());
        assertEquals(
                0,
                leases.renew("new", 8, "", 300).durationMicros(),
                "the change may not have waited for a subscriber without a lease");
        assertFalse(leases.canAdmit("new", 8, 300));
        assertTrue(leases.canAdmit("new", 9, 300));
        assertTrue(
                leases.renew("s", 9, "", 300 + SubscriberLeases.CATCH_UP_MICROS).durationMicros() > 0,
                "a subscriber that has caught up gets a lease again");
        assertEquals(
                0,
                leases.renew("s", 8, "", 400 + SubscriberLeases.CATCH_UP_MICROS).durationMicros(),
                "the subscriber has lost applied changes");
    }

    @Test
    void theAppliedFloorIsTheLowestIndexOfSubscribersWithALease() {
        SubscriberLeases leases = new SubscriberLeases(0);
        leases.onOwnLease(60_000_000, 5, 0);
        leases.renew("s", 5, "", 0);
        assertEquals(0, leases.appliedFloor(7, 0), "leases of an earlier incarnation may still be valid");
        long later = 2_100_000;
        assertEquals(7, leases.appliedFloor(7, later), "its lease has ended");
        leases.renew("s", 6, "", later);
        leases.renew("t", 7, "", later);
        assertEquals(6, leases.appliedFloor(7, later));
        leases.renew("s", 9, "", later);
        assertEquals(7, leases.appliedFloor(9, later));
        assertEquals(2, leases.activeCount(later));
    }

    @Test
    void fullDocumentsInFlightAreLimited() {
        FullDocumentLimiter limiter = new FullDocumentLimiter();
        int sizeBytes = 1 << 20;
        int admitted = 0;
        for (int i = 0; i < 300; i++) {
            admitted += limiter.admit("s" + i, sizeBytes, 0) ? 1 : 0;
        }
        assertEquals(FullDocumentLimiter.IN_FLIGHT_MAX_BYTES / sizeBytes, admitted);
        int first = limiter.retryAfterMillis(0);
        int second = limiter.retryAfterMillis(0);
        assertTrue(first < second && second <= FullDocumentLimiter.RETRY_MAX_MILLIS);
        limiter.confirm("s0");
        assertTrue(limiter.admit("s299", sizeBytes, 0));
        assertFalse(limiter.admit("s298", sizeBytes, 0));
        assertTrue(
                limiter.admit("s298", sizeBytes, FullDocumentLimiter.CONFIRM_TIMEOUT_MICROS),
                "unconfirmed documents no longer count after the timeout");
        FullDocumentLimiter large = new FullDocumentLimiter();
        assertTrue(
                large.admit("s", (int) FullDocumentLimiter.IN_FLIGHT_MAX_BYTES + 1, 0),
                "a single document is admitted whatever its size");
    }

    @Test
    void subscribersAreSpreadOverMembersAndBackoffGrowsToItsMaximum() {
        Map<String, Integer> subscriberCounts = new HashMap<>();
        for (int i = 0; i < 910; i++) {
            subscriberCounts.merge(new MemberSelector("pooler-" + i, MEMBERS, 1).currentMember(), 1, Integer::sum);
        }
        assertTrue(
                subscriberCounts.size() == 3
                        && subscriberCounts.values().stream().allMatch(count -> count > 250 && count < 360),
                subscriberCounts.toString());
        MemberSelector selector = new MemberSelector("s", MEMBERS, 1);
        long maxDelayMicros = 0;
        long delayMicros = 0;
        for (int round = 0; round < 12; round++) {
            for (int i = 0; i < MEMBERS.size(); i++) {
                delayMicros = selector.failOver(0);
            }
            maxDelayMicros = Math.max(maxDelayMicros, delayMicros);
            assertTrue(delayMicros <= MemberSelector.BACKOFF_MAX_MICROS);
        }
        assertTrue(maxDelayMicros > MemberSelector.BACKOFF_MAX_MICROS / 2);
        assertEquals(MemberSelector.HANDSHAKE_TIMEOUT_MAX_MICROS, selector.handshakeTimeoutMicros());
        selector.onSuccess();
        assertEquals(MemberSelector.HANDSHAKE_TIMEOUT_MIN_MICROS, selector.handshakeTimeoutMicros());
        assertTrue(
                selector.failOver(0) < MemberSelector.BACKOFF_MIN_MICROS, "the next member is tried without backoff");
        assertFalse(selector.isPreferredDue(MemberSelector.PREFERRED_RETRY_MICROS - 1));
        assertTrue(selector.isPreferredDue(2 * MemberSelector.PREFERRED_RETRY_MICROS));
        selector.onPreferredAttempted(true, 0);
        assertEquals(selector.preferredMember(), selector.currentMember());
    }

    @Test
    void failoverFromAMemberThatDeniesLeasesHasATimeoutThatDoubles() {
        MemberSelector selector = new MemberSelector("s", MEMBERS, 1);
        assertFalse(selector.onLeaseDenied(100));
        assertFalse(selector.onLeaseDenied(99 + MemberSelector.DENIED_TIMEOUT_MIN_MICROS));
        assertTrue(selector.onLeaseDenied(100 + MemberSelector.DENIED_TIMEOUT_MIN_MICROS));
        assertFalse(
                selector.onLeaseDenied(100 + 2 * MemberSelector.DENIED_TIMEOUT_MIN_MICROS), "the timeout has doubled");
        assertTrue(selector.onLeaseDenied(100 + 3 * MemberSelector.DENIED_TIMEOUT_MIN_MICROS));
        selector.onLeaseGranted();
        assertFalse(
                selector.onLeaseDenied(100 + 9 * MemberSelector.DENIED_TIMEOUT_MIN_MICROS),
                "a granted lease resets the timeout");
        assertTrue(selector.onLeaseDenied(100 + 10 * MemberSelector.DENIED_TIMEOUT_MIN_MICROS));
    }

    @Test
    void aSubscriberIgnoresOlderStatesAndRequestsTheFullDocumentAfterAWrongDelta() {
        SubscriberState state = new SubscriberState(true, SubscriberState.Cached.EMPTY, 0);
        ReplicatedState.Document one = document(1, "{\"a\":1}");
        ReplicatedState.Document two = document(2, "{\"a\":2}");
        WatchResponse first = new WatchResponse(0, 0, "", 10, 0, new WatchResponse.Event.FullDocument(one), Map.of());
        assertEquals(one, state.onResponse(first, 0, 0, content -> null).document());
        assertEquals(0, state.appliedIndex(), "the pooler has not applied it yet");
        state.onApplied(state.receivedIndex());
        DocumentDelta wrong = DocumentDelta.between(one.content(), "{\"a\":3}".getBytes(StandardCharsets.UTF_8));
        WatchResponse.Event deltas = new WatchResponse.Event.Deltas(2, 20, two.digest(), List.of(wrong));
        WatchResponse corrupt = new WatchResponse(0, 0, "", 20, 0, deltas, null);
        assertTrue(state.onResponse(corrupt, 0, 0, content -> null)
                .corruption()
                .startsWith("revision 2: the document does not match the digest "));
        assertTrue(
                state.request().wantsFullDocument() && state.request().revision() == 1 && state.receivedIndex() == 10);
        WatchResponse second = new WatchResponse(0, 0, "", 20, 0, new WatchResponse.Event.FullDocument(two), null);
        assertEquals(two, state.onResponse(second, 0, 0, content -> null).document());
        state.onApplied(state.receivedIndex());
        assertNull(
                state.onResponse(first, 0, 0, content -> null).document(), "a response of a lagging member is ignored");
        assertEquals(2, state.request().revision());
        ReplicatedState.Document unreadable = document(3, "{\"new\":1}");
        WatchResponse third =
                new WatchResponse(0, 0, "", 30, 0, new WatchResponse.Event.FullDocument(unreadable), null);
        assertNull(state.onResponse(third, 0, 0, content -> "unknown").document());
        state.onApplied(state.receivedIndex());
        assertEquals(20, state.request().appliedIndex(), "a document that can't be used does not count as applied");
        assertEquals("revision 3 can't be used: unknown", state.request().objection());
        assertEquals(2, state.toCache().document().revision());
    }

    @Test
    void aLeaseStartsAtTheEarliestTimeOfItsGrant() {
        SubscriberState state = new SubscriberState(true, SubscriberState.Cached.EMPTY, 0);
        long grantedMicros = 1_000_000 + (long) (400_000 * (1 - Lease.MAX_CLOCK_DRIFT_RATIO));
        WatchResponse response =
                new WatchResponse(Lease.DURATION_MICROS, 400_000, "", 1, 0, new WatchResponse.Event.Unchanged(), null);
        state.onResponse(response, 1_000_000, 1_450_000, content -> null);
        assertEquals(Lease.endMicros(grantedMicros, Lease.DURATION_MICROS), state.leaseUntilMicros());
        // A queued time longer than the round trip is limited to it.
        SubscriberState other = new SubscriberState(true, SubscriberState.Cached.EMPTY, 0);
        other.onResponse(
                new WatchResponse(60_000_000, 90_000_000, "", 1, 0, new WatchResponse.Event.Unchanged(), null),
                1_000_000,
                1_450_000,
                content -> null);
        assertEquals(Lease.endMicros(1_450_000, Lease.DURATION_MICROS), other.leaseUntilMicros());
    }

    @Test
    void aServiceSendsDeltasIfPossibleAndNothingToAnUpToDateSubscriber() {
        WatchService service = new WatchService("", 0);
        ReplicatedState.Document one = document(1, "x".repeat(500) + 1);
        ReplicatedState.Document two = document(2, "x".repeat(500) + 2);
        service.onApplied(one, Map.of(), 10, 0);
        service.onApplied(two, Map.of(), 20, 0);
        assertFalse(service.hasUpdate(request(20, two)));
        assertTrue(service.hasUpdate(request(10, one)));
        assertTrue(service.respond("s", request(10, one), 0, 0).event() instanceof WatchResponse.Event.Deltas);
        assertTrue(service.respond("s", request(0, null), 0, 0).event() instanceof WatchResponse.Event.FullDocument);
        assertFalse(service.hasUpdate(request(30, document(3, "later"))), "the subscriber is ahead of this member");
        service.onApplied(one, Map.of(), 10, 0);
        assertFalse(service.hasUpdate(request(20, two)), "an older state, as after a disk failure, is ignored");
        assertTrue(service.lacksOwnLease(0));
        assertEquals(
                "off",
                new WatchService("off", 0).respond("s", request(0, null), 0, 0).leaseDenial());
    }
}
