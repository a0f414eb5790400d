package org.woadvale.common.rpc;

/**
 * A request whose second sending could take effect twice, or be refused because the first one took effect. It is sent
 * again only after a failure that proves that it was not executed; any other failure is handed to the caller.
 */
public non-sealed interface AtMostOnceRequest extends RpcRequest {}
