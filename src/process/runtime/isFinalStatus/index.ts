/**
 * Check of the status of a final HTTP response.
 */

const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/**
 * Returns whether a status is one of a final response: of the classes 2xx to 5xx, which are all that HTTP defines. A
 * response with any other status is no response to the request.
 *
 * @param status - the status; undefined where the parser read none
 * @returns true when a final response may have the status
 * @example
 * isFinalStatus(600); // false
 */
export function isFinalStatus(status: number | undefined): status is number {
  return status !== undefined && status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
}
