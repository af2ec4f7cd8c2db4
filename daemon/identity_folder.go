package daemon

const IdentityFolder = "self"
