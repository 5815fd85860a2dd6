export {runMeasure} from './main.js';
export {fitLine, splitRequestCost} from './line-fit.js';
