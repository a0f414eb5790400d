package review;

import java.nio.file.Path;

/** One case: starts a deployment, plays the disruption unless TROUBLE=0, and exits with 0, 1 or 2. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final double LONGEST_S = 115;
    /** What the process exits with where the rule was broken: no failure to start a JVM has this code. */
    private static final int EXIT_BROKEN = 11;

    Record record;
    Deployment deployment;
    Operator operator;
    boolean trouble;

    /** The rule held, was broken, or the case could not run. */
    abstract int run() throws Exception;

    final void main(Path folder, int controlNodes, int storeNodes, int frontNodes, int machineLosses) {
        int result = NOT_RUN;
        try {
            record = new Record(folder);
            deployment = new Deployment(record, controlNodes, storeNodes, frontNodes, machineLosses);
            Thread cleaner = new Thread(deployment::close);
            Runtime.getRuntime().addShutdownHook(cleaner);
            stopInTime();
            operator = new Operator(deployment, record);
            trouble = !"0".equals(System.getenv("TROUBLE"));
            record.line("disruption: " + trouble);
            result = run();
        } catch (Exception e) {
            record.line("the case could not run: " + e);
        }
        record.line("exit " + result);
        System.exit(result == BROKEN ? EXIT_BROKEN : result);
    }

    private void stopInTime() {
        Thread watch = new Thread(() -> {
            try {
                Thread.sleep((long) (LONGEST_S * 1000));
            } catch (InterruptedException e) {
                return;
            }
            record.line("out of time, exit " + NOT_RUN);
            System.exit(NOT_RUN);
        });
        watch.setDaemon(true);
        watch.start();
    }

    /** First start of the whole system, first configuration, front nodes ready; false where that failed. */
    final boolean begin(String configuration) throws Exception {
        deployment.startAll();
        return operator.put(configuration, 0, 40) && operator.awaitReady(30);
    }
}
