package lupinvalve.capacity;

/**
 * One line of the page: what is needed at the operators' size, against what there is.
 *
 * @param what in words
 * @param need NaN where only a run could tell
 * @param budget NaN where nobody set one
 * @param failsAt the smallest size at which the budget is exceeded; NaN where it holds, or isn't known
 * @param size what that size counts: poolers, databases
 * @param from where the figure comes from: a run, a slope, a test, a setting
 * @param carriedBy the file of the mechanism
 * @param scope where it counts
 */
public record Figure(
        String what,
        double need,
        double budget,
        Unit unit,
        double failsAt,
        String size,
        Basis basis,
        String from,
        String carriedBy,
        Scope scope) {
    /** In which design a figure counts when budgets are ranked. */
    public enum Scope {
        /** Only where each pooler is a member of the group. */
        MEMBERS,
        /** Only where poolers follow control members. */
        SUBSCRIPTIONS,
        /** In both. */
        BOTH,
        /** In neither: it shows what something not built or not needed would take. */
        OPTION
    }

    Figure(
            String what,
            double need,
            double budget,
            Unit unit,
            double failsAt,
            String size,
            Basis basis,
            String from,
            String carriedBy) {
        this(what, need, budget, unit, failsAt, size, basis, from, carriedBy, Scope.BOTH);
    }

    /** The same, counted elsewhere. */
    Figure in(Scope other) {
        return new Figure(what, need, budget, unit, failsAt, size, basis, from, carriedBy, other);
    }

    /** A figure of a size that follows from the number of poolers in proportion. */
    static Figure inProportion(
            String what, double need, double budget, Unit unit, int poolers, Basis basis, String from, String by) {
        double failsAt = need > budget ? Math.floor(budget / need * poolers) + 1 : Double.NaN;
        return new Figure(what, need, budget, unit, failsAt, "poolers", basis, from, by);
    }

    /** A figure for which no smaller size was worked out. */
    static Figure of(String what, double need, double budget, Unit unit, Basis basis, String from, String by) {
        return new Figure(what, need, budget, unit, Double.NaN, "", basis, from, by);
    }

    /** A figure without a budget. */
    static Figure plain(String what, double need, Unit unit, Basis basis, String from, String by) {
        return of(what, need, Double.NaN, unit, basis, from, by);
    }

    /** Need over budget, or NaN; infinite where nothing at all is allowed and there is something. */
    public double ratio() {
        return need == 0 ? 0 * budget : need / budget;
    }

    /** Whether the budget is known to be exceeded. */
    public boolean over() {
        return ratio() > 1;
    }

    String needWords() {
        return Double.isNaN(need) ? Basis.NOT_RUN.word() : unit.words(need);
    }

    String budgetWords() {
        return Double.isNaN(budget) ? "none set" : unit.words(budget);
    }

    String ratioWords() {
        if (Double.isInfinite(ratio())) {
            return "**over**";
        }
        return Double.isNaN(ratio()) ? "" : (over() ? "**" + Unit.number(ratio()) + "**" : Unit.number(ratio()));
    }
}
