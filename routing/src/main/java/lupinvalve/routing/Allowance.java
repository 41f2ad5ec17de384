package lupinvalve.routing;

/**
 * How many requests one router may send a cold db node: what it has earned and not yet used up, and how far it is to
 * the next one that goes there. Bookkeeping only; how much is earned and used up comes from {@link Limits}.
 */
final class Allowance {
    private double servedBefore, saved, due;

    /** What a db node can do so long after its start, as a part of what it can do warm. */
    static double warmth(RouterSettings.Rules rules, long age) {
        double passed = (double) age / Math.max(1, rules.warmUpMicros());
        return rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * Math.min(1, Math.max(0, passed));
    }

    /** Begins anew at so many requests served, with a part of a request saved, and a part of the next one due. */
    void restart(double served, double alreadySaved, double alreadyDue) {
        servedBefore = served;
        saved = alreadySaved;
        due = alreadyDue;
    }

    /** Earns a part for each request served since the last call; at most so much is saved. */
    void earn(double served, double each, double most) {
        saved = Math.min(most, saved + (served - servedBefore) * each);
        servedBefore = served;
    }

    /** Whether a whole request is saved. */
    boolean whole() {
        return saved >= 1;
    }

    /** Uses up what was sent. */
    void spend(double sent) {
        saved -= sent;
    }

    /**
     * Uses up at most so much for one request, and tells whether it is the one to go: the parts used up add to the next
     * one due. Routers that begin with parts due drawn evenly from 0 to 1 send together, over any time, about the sum
     * of all parts used up, each at most one more than its own.
     */
    boolean draw(double most) {
        double part = Math.min(most, saved);
        saved -= part;
        due += part;
        boolean goes = due >= 1;
        due -= goes ? 1 : 0;
        return goes;
    }
}
