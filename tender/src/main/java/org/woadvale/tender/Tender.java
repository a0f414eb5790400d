package org.woadvale.tender;

/** The operator's tool. */
public final class Tender {
    private Tender() { }

    public static void main(String[] args) {
        System.err.println("tender: no runbooks yet");
        System.exit(2);
    }
}
