package lupinvalve.statemachine;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Plans an operator's membership change as steps that each keep a quorum: a new member first replicates the log as a
 * learner without a vote, and a leader that is to be removed first transfers the leadership. Stateless: each step is
 * planned from the current state of the group.
 */
public final class MembershipChange {
    /** Maximum lag at which a learner becomes a voter: it replicates the missing entries almost at once. */
    public static final long MAX_PROMOTION_LAG_ENTRIES = 500;

    private MembershipChange() {}

    /** An operator's request to add or remove a member, by name. */
    public record Request(boolean add, String name) {}

    /**
     * The group from its leader's view, as of the last committed membership change.
     *
     * @param nonMembers processes of the cluster that are connected but not members
     * @param reachable members that have responded recently, including the leader
     * @param matchIndexes log index up to which each member has replicated the leader's log
     * @param lastIndex last index of the leader's log
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

    /** The next step of a membership change. */
    public sealed interface Step {
        /** Adds a member without a vote. */
        record AddLearner(MemberId member) implements Step {}

        /** Makes a learner a voter. */
        record PromoteToVoter(MemberId member) implements Step {}

        /** Removes a voter or a learner. */
        record RemoveMember(MemberId member) implements Step {}

        /** Transfers the leadership to another member. */
        record TransferLeadership(MemberId successor) implements Step {}

        /** No step for now: the condition in the reason must be met first. */
        record Wait(String reason) implements Step {}

        /** The change is complete. */
        record Done() implements Step {}

        /** The change is rejected. */
        record Rejected(String reason) implements Step {}
    }

    /** The next step towards an operator's request. */
    public static Step nextStep(Request request, GroupView view) {
        return request.add() ? add(request.name(), view) : remove(findByName(request.name(), view.members()), view);
    }

    private static Step add(String name, GroupView view) {
        MemberId nonMember = findByName(name, view.nonMembers());
        MemberId member = findByName(name, view.members());
        if (member == null) {
            return addNew(name, nonMember, view);
        }
        if (!view.reachable().contains(member)) {
            // A member that is connected with another disk has lost the old one for good; until it reconnects, nothing
            // is
            // known about its disk.
            return nonMember != null
                    ? remove(member, view)
                    : new Step.Wait(name + " is a member and out of reach: start it");
        }
        if (view.voters().contains(member)) {
            // If the leader fails before the others know the new voters, they could wait for the vote of a lost member.
            return allReachableVotersHaveChange(view) ? new Step.Done() : new Step.Wait("not all have heard of it yet");
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

    private static boolean allReachableVotersHaveChange(GroupView view) {
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

    /** The reachable candidate with the longest log; the first of several. */
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

    private static MemberId findByName(String name, Set<MemberId> candidates) {
        return candidates.stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
