package lupinvalve.statemachine;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Plans an operator's membership change as steps that each keep a quorum: a new member first learns without a vote, and
 * a leader that is to be removed first transfers the leadership. Stateless: each step is planned from the group as it
 * is.
 */
public final class MembershipChange {
    /** A learner may vote once it lacks no more entries than this: it has the rest within a moment. */
    public static final long MAX_PROMOTION_LAG_ENTRIES = 500;

    private MembershipChange() {}

    /** What an operator wants: a member to add or to remove, by name. */
    public record Request(boolean add, String name) {}

    /**
     * The group as its leader sees it, by the last membership change that was committed.
     *
     * @param nonMembers connected and of the cluster, but not members
     * @param reachable members heard of lately, the leader among them
     * @param matchIndexes up to which log index each member has the leader's log
     * @param lastIndex of the leader's log
     * @param membershipIndex log index of the last membership change
     */
    public record GroupView(
            MemberId leader,
            Set<MemberId> voters,
            Set<MemberId> learners,
            Set<MemberId> nonMembers,
            Set<MemberId> reachable,
            Map<MemberId, Long> matchIndexes,
            long lastIndex,
            long membershipIndex) {
        private Set<MemberId> members() {
            Set<MemberId> all = new TreeSet<>(voters);
            all.addAll(learners);
            return all;
        }

        private long matchIndex(MemberId member) {
            return matchIndexes.getOrDefault(member, 0L);
        }
    }

    /** What to do next. */
    public sealed interface Step {
        /** Adds a member without a vote. */
        record AddLearner(MemberId member) implements Step {}

        /** Gives a learner its vote. */
        record PromoteToVoter(MemberId member) implements Step {}

        /** Removes a voter or a learner. */
        record RemoveMember(MemberId member) implements Step {}

        /** Makes another member the leader. */
        record TransferLeadership(MemberId successor) implements Step {}

        /** Nothing yet: something must happen by itself first. */
        record Wait(String reason) implements Step {}

        /** The group is as the operator wants it. */
        record Done() implements Step {}

        /** The change can't be made. */
        record Rejected(String reason) implements Step {}
    }

    /** The next step towards what an operator wants. */
    public static Step nextStep(Request request, GroupView view) {
        return request.add() ? add(request.name(), view) : remove(named(request.name(), view.members()), view);
    }

    private static Step add(String name, GroupView view) {
        MemberId nonMember = named(name, view.nonMembers());
        MemberId member = named(name, view.members());
        if (member == null) {
            return addNew(name, nonMember, view);
        }
        if (!view.reachable().contains(member)) {
            // If it is back with another disk, the old one is gone for good; until it is back, nothing is known of it.
            return nonMember != null
                    ? remove(member, view)
                    : new Step.Wait(name + " is a member and out of reach: start it");
        }
        if (view.voters().contains(member)) {
            // Should the leader fail now, the others must know who votes, or they could wait for a member that is gone.
            return allReachableVotersKnow(view) ? new Step.Done() : new Step.Wait("not all have heard of it yet");
        }
        return view.matchIndex(member) + MAX_PROMOTION_LAG_ENTRIES < view.lastIndex()
                ? new Step.Wait(name + " is still learning")
                : new Step.PromoteToVoter(member);
    }

    private static Step addNew(String name, MemberId nonMember, GroupView view) {
        if (nonMember == null) {
            return new Step.Rejected(name + " is not connected: start it with the same cluster and members first");
        }
        return view.members().size() >= MemberId.MAX_MEMBERS
                ? new Step.Rejected("a group has " + MemberId.MAX_MEMBERS + " members at most")
                : new Step.AddLearner(nonMember);
    }

    private static boolean allReachableVotersKnow(GroupView view) {
        return view.voters().stream()
                .allMatch(voter -> voter.equals(view.leader())
                        || !view.reachable().contains(voter)
                        || view.matchIndex(voter) >= view.membershipIndex());
    }

    private static Step remove(MemberId member, GroupView view) {
        if (member == null) {
            return new Step.Done();
        }
        if (view.learners().contains(member) && !view.voters().contains(member)) {
            return new Step.RemoveMember(member);
        }
        Set<MemberId> remaining = new TreeSet<>(view.voters());
        remaining.remove(member);
        if (remaining.isEmpty()) {
            return new Step.Rejected(member.name() + " is the last member");
        }
        long reachable = remaining.stream().filter(view.reachable()::contains).count();
        if (reachable <= remaining.size() / 2) {
            return new Step.Rejected("without " + member.name() + " only " + reachable + " of " + remaining.size()
                    + " members would be in reach, which is no majority");
        }
        return member.equals(view.leader())
                ? new Step.TransferLeadership(mostUpToDate(remaining, view))
                : new Step.RemoveMember(member);
    }

    /** The first of the reachable ones with the longest log. */
    private static MemberId mostUpToDate(Set<MemberId> candidates, GroupView view) {
        MemberId best = null;
        for (MemberId candidate : candidates) {
            if (view.reachable().contains(candidate)
                    && (best == null || view.matchIndex(candidate) > view.matchIndex(best))) {
                best = candidate;
            }
        }
        return best;
    }

    private static MemberId named(String name, Set<MemberId> among) {
        return among.stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
