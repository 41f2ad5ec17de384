package lupinvalve.net;

import lupinvalve.maintenance.AnswerBudget;
import lupinvalve.maintenance.ByteBudget;
import lupinvalve.maintenance.MemoryBudgets;

/**
 * The budgets that a connection's memory counts towards.
 *
 * @param partialMessages for messages that have arrived in part
 * @param unprocessedInput for input that waits for the core
 * @param output for what has not been handed to the socket
 */
record LinkBudgets(ByteBudget partialMessages, ByteBudget unprocessedInput, OutputMeter output) {
    /** No limits beyond those of a single connection. */
    static LinkBudgets unlimited() {
        return new LinkBudgets(new ByteBudget(Long.MAX_VALUE), new ByteBudget(Long.MAX_VALUE), OutputMeter.NONE);
    }

    /** For a client's connection: what is written there are answers. */
    static LinkBudgets ofClient(MemoryBudgets budgets) {
        AnswerBudget answers = budgets.answers();
        return of(budgets, new OutputMeter(answers::addUnread, answers::allowsUnread, answers::isExhausted));
    }

    /** For a connection that this process has dialled: what is written there are clients' commands. */
    static LinkBudgets ofDialled(MemoryBudgets budgets) {
        return of(budgets, new OutputMeter(budgets.commands()::add, pending -> true, () -> false));
    }

    private static LinkBudgets of(MemoryBudgets budgets, OutputMeter output) {
        return new LinkBudgets(budgets.partialMessages(), budgets.unprocessedInput(), output);
    }
}
