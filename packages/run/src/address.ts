/** Network addresses of processes, as `IP:port` with an IPv4 address. */

const ADDRESS_PATTERN =
  /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;

const MAX_OCTET = 255;

const MAX_PORT = 65_535;

/** Whether a connection to the text can be attempted. */
export function isAddress(text: string): boolean {
  const match = ADDRESS_PATTERN.exec(text);
  if (match === null) return false;
  const numbers = match.slice(1).map(Number);
  const port = numbers.pop()!;
  const areOctetsValid = numbers.every((octet) => octet <= MAX_OCTET);
  return areOctetsValid && port >= 1 && port <= MAX_PORT;
}
