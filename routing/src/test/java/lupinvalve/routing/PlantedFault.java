package lupinvalve.routing;

/** What a test lets a router do wrong, and how the note on it begins. */
enum PlantedFault {
    ANSWER_WITHHELD("answer"),
    WRITE_REPEATED("effect"),
    SENT_TO_DRAINING_SERVER("drain"),
    SLOW_START_IGNORED("slow start"),
    READ_FROM_ANY_REPLICA("stale");

    final String rule;

    PlantedFault(String rule) {
        this.rule = rule;
    }
}
