package lupinvalve.subscription;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import lupinvalve.audit.LeaseManager;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Three members and their subscribers in virtual time, and the checker of what subscribers apply. Of the replicated log
 * only its guarantee is simulated: a sequence of committed changes that each leader has in full.
 */
final class SimulatedGroup {
    /** Programming errors that the checker must detect. */
    enum PlantedFault {
        NONE,
        LEASE_COUNTED_FROM_RESPONSE,
        DIGEST_UNCHECKED,
        GRANTS_PAST_OWN_LEASE,
        LEADER_INDEX_IGNORED,
        ADMITS_LAGGING_SUBSCRIBER
    }

    /** Maximum time from a commit until all subscribers that may act have applied the change. */
    static final long IN_FORCE_MAX_MICROS = 6_000_000;

    private static final Command.DrainTarget DRAINED = new Command.DrainTarget(Command.TargetKind.NODE, "n");
    private static final int MEMBERS_COUNT = 3;
    private static final int START_SPREAD_MICROS = 500_000;
    private static final long STRICT_CHECK_INTERVAL_MICROS = 20_000;
    private static final int DOCUMENT_FILLER_CHARS = 300;

    /** A committed change, with the document and the number of the drain after it. */
    record CommittedChange(long index, long atMicros, ReplicatedState.Document document, int drainNumber) {}

    private final VirtualNetwork network;
    private final PlantedFault planted;
    private final List<CommittedChange> log = new ArrayList<>();
    private final Map<Long, String> digestByRevision = new HashMap<>();
    private final List<SimulatedMember> members = new ArrayList<>();
    private final List<SimulatedSubscriber> subscribers = new ArrayList<>();
    private final Set<String> findings = new HashSet<>();
    private SimulatedMember leader;
    private long lastIndex;
    private double corruptionRatio;
    private int strictDoneCount;
    private int updateCount;
    private int corruptionCount;
    private long latestUnappliedMicros;

    SimulatedGroup(VirtualNetwork network, int subscriberCount, PlantedFault planted) {
        this.network = network;
        this.planted = planted;
        for (int i = 0; i < MEMBERS_COUNT; i++) {
            members.add(new SimulatedMember(this, network, "m" + i));
        }
        leader = members.get(0);
        for (int i = 0; i < subscriberCount; i++) {
            subscribers.add(new SimulatedSubscriber(this, network, "s" + i));
        }
        members.forEach(SimulatedMember::start);
        subscribers.forEach(subscriber ->
                subscriber.runLater((long) (network.random.nextDouble() * START_SPREAD_MICROS), subscriber::start));
    }

    PlantedFault planted() {
        return planted;
    }

    // ---- members and log ----

    List<SimulatedMember> members() {
        return members;
    }

    List<SimulatedSubscriber> subscribers() {
        return subscribers;
    }

    List<String> memberNames() {
        return members.stream().map(VirtualProcess::name).toList();
    }

    SimulatedMember member(String name) {
        return members.get(Integer.parseInt(name.substring(1)));
    }

    SimulatedMember leader() {
        return leader;
    }

    boolean hasMajority(SimulatedMember member) {
        long reached = members.stream()
                .filter(other -> other == member
                        || other.responds() && !network.isBlocked(member, other) && !network.isBlocked(other, member))
                .count();
        return member.responds() && reached > MEMBERS_COUNT / 2;
    }

    /** Elects another member that reaches a majority; it has all committed changes. */
    void electAnother() {
        List<SimulatedMember> candidates = members.stream()
                .filter(member -> member != leader && hasMajority(member))
                .toList();
        if (!candidates.isEmpty()) {
            leader = candidates.get(network.random.nextInt(candidates.size()));
            leader.onElected();
        }
    }

    int committedCount() {
        return log.size();
    }

    List<CommittedChange> committed(int count) {
        return log.subList(0, count);
    }

    static Map<Command.DrainTarget, ReplicatedState.Drain> drains(int number) {
        return number == 0 ? Map.of() : Map.of(DRAINED, new ReplicatedState.Drain("hold " + number, number));
    }

    static int drainNumber(Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
        return drains.isEmpty() ? 0 : (int) drains.get(DRAINED).sinceMicros();
    }

    /**
     * Commits a change of a drain, or of the document, if the leader has a majority.
     *
     * @param strict whether it is a strict change, which is watched until it is done
     */
    void commit(boolean drain, boolean strict) {
        if (!hasMajority(leader)) {
            return;
        }
        CommittedChange last = log.isEmpty() ? new CommittedChange(0, 0, null, 0) : log.get(log.size() - 1);
        lastIndex += 1 + network.random.nextInt(5);
        ReplicatedState.Document document =
                drain && last.document() != null ? last.document() : nextDocument(last.document());
        CommittedChange change = new CommittedChange(
                lastIndex, network.nowMicros(), document, drain ? last.drainNumber() + 1 : last.drainNumber());
        log.add(change);
        SimulatedMember committer = leader;
        committer.applyAll();
        LeaseManager leases = committer.memberLeases();
        if (strict && leases != null) {
            leases.requireIndex(change.index(), committer.clockMicros());
            committer.runLater(STRICT_CHECK_INTERVAL_MICROS, () -> awaitStrict(committer, leases, change));
        }
    }

    private ReplicatedState.Document nextDocument(ReplicatedState.Document before) {
        long revision = before == null ? 1 : before.revision() + 1;
        String text = "{\"databases\":\"" + "x".repeat(DOCUMENT_FILLER_CHARS) + "\",\"revision\":" + revision
                + ",\"seed\":" + network.random.nextInt(1000) + "}";
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        ReplicatedState.Document document =
                new ReplicatedState.Document(revision, lastIndex, ReplicatedState.digest(content), content);
        digestByRevision.put(revision, document.digest());
        return document;
    }

    private void awaitStrict(SimulatedMember committer, LeaseManager leases, CommittedChange change) {
        if (committer.memberLeases() != leases) {
            return;
        }
        if (!leases.pendingPoolers(change.index(), memberNames(), committer.confirmedMicros())
                .isEmpty()) {
            committer.runLater(STRICT_CHECK_INTERVAL_MICROS, () -> awaitStrict(committer, leases, change));
            return;
        }
        strictDoneCount++;
        subscribers.forEach(subscriber -> subscriber.requireApplied(change.index()));
    }

    // ---- corruption of responses ----

    void setCorruptionRatio(double ratio) {
        corruptionRatio = ratio;
    }

    double corruptionRatio() {
        return corruptionRatio;
    }

    // ---- checker ----

    /** Checks all subscribers periodically from now on. */
    void checkPeriodically(long intervalMicros) {
        network.runAt(network.nowMicros() + intervalMicros, () -> {
            subscribers.forEach(SimulatedSubscriber::check);
            checkPeriodically(intervalMicros);
        });
    }

    boolean isCommitted(ReplicatedState.Document document) {
        return document.digest().equals(digestByRevision.get(document.revision()));
    }

    /** Visits committed changes, the newest first, until the visitor returns false. */
    void forEachFromNewest(Predicate<CommittedChange> visitor) {
        for (int i = log.size() - 1; i >= 0; i--) {
            if (!visitor.test(log.get(i))) {
                return;
            }
        }
    }

    /** Reports that a subscriber that may act has not applied a change. */
    void reportUnapplied(String subscriber, CommittedChange change, long mustHaveAppliedIndex) {
        long sinceMicros = network.nowMicros() - change.atMicros();
        latestUnappliedMicros = Math.max(latestUnappliedMicros, sinceMicros);
        if (sinceMicros > IN_FORCE_MAX_MICROS) {
            addFinding("late: " + subscriber + " has not applied change " + change.index());
        }
        if (mustHaveAppliedIndex >= change.index()) {
            addFinding("strict: " + subscriber + " has not applied change " + change.index()
                    + ", which was reported as done");
        }
    }

    void addFinding(String finding) {
        findings.add(finding);
    }

    Set<String> findings() {
        return findings;
    }

    /** The subscribers that have no lease or have not applied the last change. */
    List<String> unhealthy() {
        if (log.isEmpty()) {
            return List.of();
        }
        CommittedChange last = log.get(log.size() - 1);
        return subscribers.stream()
                .filter(subscriber -> !subscriber.isHealthy(last))
                .map(VirtualProcess::name)
                .toList();
    }

    // ---- counts, to verify that the simulation covers enough ----

    void countUpdate() {
        updateCount++;
    }

    void countCorruption() {
        corruptionCount++;
    }

    int updateCount() {
        return updateCount;
    }

    int corruptionCount() {
        return corruptionCount;
    }

    int strictDoneCount() {
        return strictDoneCount;
    }

    /** The longest time from a commit until the last check at which a subscriber that might act had not applied it. */
    long latestUnappliedMicros() {
        return latestUnappliedMicros;
    }
}
