package lupinvalve.capacity;

/**
 * A row of the page: what is needed at the operators' size, compared with the budget.
 *
 * @param what description
 * @param need NaN if only a run could measure it and there was none
 * @param budget NaN if there is none
 * @param failsAt smallest size at which the budget is exceeded; NaN if the budget holds or the size is not known
 * @param size what the size counts: poolers or databases
 * @param from source of the figure: a run, a slope, a test or a setting
 * @param carriedBy source file of the mechanism
 * @param scope designs in which the figure counts
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
    /** Design in which a figure counts when budgets are ranked. */
    public enum Scope {
        /** Only if each pooler is a member of the group. */
        MEMBERS,
        /** Only if poolers subscribe to control members. */
        SUBSCRIPTIONS,
        /** In both designs. */
        BOTH,
        /** In neither design: shows the cost of something that is not built or not needed. */
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

    /** Returns a copy with another scope. */
    Figure withScope(Scope other) {
        return new Figure(what, need, budget, unit, failsAt, size, basis, from, carriedBy, other);
    }

    /** Creates a figure that is proportional to the number of poolers. */
    static Figure inProportion(
            String what, double need, double budget, Unit unit, int poolers, Basis basis, String from, String by) {
        double failsAt = need > budget ? Math.floor(budget / need * poolers) + 1 : Double.NaN;
        return new Figure(what, need, budget, unit, failsAt, "poolers", basis, from, by);
    }

    /** Creates a figure without a size from which the budget is exceeded. */
    static Figure of(String what, double need, double budget, Unit unit, Basis basis, String from, String by) {
        return new Figure(what, need, budget, unit, Double.NaN, "", basis, from, by);
    }

    /** Creates a figure without a budget. */
    static Figure plain(String what, double need, Unit unit, Basis basis, String from, String by) {
        return of(what, need, Double.NaN, unit, basis, from, by);
    }

    /**
     * Returns need divided by budget, or NaN if either is not known; infinite if the budget is zero and the need is
     * not.
     */
    public double ratio() {
        return need == 0 ? 0 * budget : need / budget;
    }

    /** Whether the budget is known to be exceeded. */
    public boolean exceedsBudget() {
        return ratio() > 1;
    }

    String needText() {
        return Double.isNaN(need) ? Basis.NOT_RUN.word() : unit.format(need);
    }

    String budgetText() {
        return Double.isNaN(budget) ? "none set" : unit.format(budget);
    }

    String ratioText() {
        if (Double.isInfinite(ratio())) {
            return "**over**";
        }
        return Double.isNaN(ratio())
                ? ""
                : (exceedsBudget() ? "**" + Unit.number(ratio()) + "**" : Unit.number(ratio()));
    }
}
