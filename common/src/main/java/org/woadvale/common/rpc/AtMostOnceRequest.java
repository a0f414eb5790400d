package org.woadvale.common.rpc;

/**
 * A request that could take effect twice if sent again, or be rejected because the first transmission took effect. It
 * is resent only after a failure that proves that it was not executed; any other failure is returned to the caller.
 */
public non-sealed interface AtMostOnceRequest extends RpcRequest {}
