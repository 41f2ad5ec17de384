package lupinvalve.routing;

/** A fault that the simulation adds to the routers, with the rule of which a violation must then be reported. */
enum PlantedFault {
    /** A quarter of the rejections do not reach the client. */
    ANSWER_WITHHELD("answer"),
    /** Requests that timed out are retried as if they had not been sent. */
    WRITE_REPEATED("effect"),
    /** Attempts go to a draining server of the group, if there is one. */
    SENT_TO_DRAINING_SERVER("drain"),
    /** Attempts go to a server of the group that is in slow start, if there is one. */
    SLOW_START_IGNORED("slow start"),
    /** Session reads go to the first replica, fresh or not. */
    READ_FROM_ANY_REPLICA("stale");

    /** The first word or words of the violations reported for the rule. */
    final String rule;

    PlantedFault(String rule) {
        this.rule = rule;
    }
}
